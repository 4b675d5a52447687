#include "ownership/ServerGrants.h"

#include <algorithm>
#include <cassert>
#include <tuple>
#include <utility>

namespace sequoia::ownership {

namespace {

// A probe only fences lower terms and reads the server's clock.
bool isProbe(const wire::GrantRequest& request)
{
    return request.clock_echo_ms() == 0 && request.lease_ms() == 0 && request.slices().empty();
}

template <typename Message, typename Assignment> void writeAssignment(const Assignment& assignment, Message& message)
{
    message.set_first(assignment.first);
    message.set_last(assignment.last);
    message.mutable_epoch()->set_term(assignment.term);
    message.mutable_epoch()->set_sequence(assignment.sequence);
}

}

bool ServerGrants::Assignment::operator<(const Assignment& other) const
{
    return std::tie(this->first, this->last, this->term, this->sequence)
        < std::tie(other.first, other.last, other.term, other.sequence);
}

ServerGrants::ServerGrants(std::string incarnation, bool checksOrders)
    : incarnation(std::move(incarnation))
    , checksOrders(checksOrders)
{
}

wire::GrantReply ServerGrants::handle(const wire::GrantRequest& request, TimePoint now)
{
    wire::GrantOutcome outcome = this->checkRequest(request);
    if (outcome == wire::GRANT_OUTCOME_ACCEPTED)
        this->accept(request);
    return this->reply(outcome, now);
}

wire::GrantOutcome ServerGrants::checkRequest(const wire::GrantRequest& request) const
{
    if (!this->checksOrders)
        return wire::GRANT_OUTCOME_ACCEPTED;
    // A clock echo without an incarnation may come from an earlier run of the server.
    bool hasEcho = request.clock_echo_ms() != 0 || !request.incarnation().empty();
    if (hasEcho && request.incarnation() != this->incarnation)
        return wire::GRANT_OUTCOME_OTHER_INCARNATION;
    auto requested = std::pair(request.term(), request.sequence());
    if (requested < std::pair(this->acceptedTerm, this->acceptedSequence))
        return wire::GRANT_OUTCOME_STALE_TERM;
    return wire::GRANT_OUTCOME_ACCEPTED;
}

void ServerGrants::accept(const wire::GrantRequest& request)
{
    this->acceptedTerm = request.term();
    this->acceptedSequence = request.sequence();
    if (isProbe(request))
        return;
    this->held.clear();
    for (const wire::GrantedSlice& slice : request.slices())
        this->held.push_back({ slice.first(), slice.last(), slice.epoch().term(), slice.epoch().sequence() });
    std::sort(this->held.begin(), this->held.end());
    // The lease starts at the echoed clock reading, not on arrival, so a delayed grant cannot extend it.
    this->leaseEnd = TimePoint(fromMillis(request.clock_echo_ms() + request.lease_ms()));
}

wire::GrantReply ServerGrants::reply(wire::GrantOutcome outcome, TimePoint now) const
{
    wire::GrantReply reply;
    reply.set_outcome(outcome);
    reply.set_incarnation(this->incarnation);
    reply.set_clock_ms(toMillis(now));
    reply.set_accepted_term(this->acceptedTerm);
    reply.set_accepted_sequence(this->acceptedSequence);
    for (const Assignment& assignment : this->held)
        writeAssignment(assignment, *reply.add_held());
    for (const auto& [assignment, count] : this->inProgress) {
        if (this->holds(assignment))
            continue;
        wire::ReleasingSlice& releasing = *reply.add_releasing();
        writeAssignment(assignment, releasing);
        releasing.set_requests_in_progress(count);
    }
    if (this->hasLease(now))
        reply.set_lease_left_ms(toMillis(this->leaseEnd - now));
    return reply;
}

bool ServerGrants::mayServe(KeyHash hash, TimePoint now) const
{
    if (this->checksOrders && !this->hasLease(now))
        return false;
    return this->find(hash) != nullptr;
}

std::optional<std::uint64_t> ServerGrants::start(KeyHash hash, TimePoint now)
{
    if (!this->mayServe(hash, now))
        return std::nullopt;
    const Assignment& assignment = *this->find(hash);
    std::uint64_t token = this->nextToken++;
    this->requests.emplace(token, assignment);
    ++this->inProgress[assignment];
    return token;
}

void ServerGrants::finish(std::uint64_t token)
{
    auto request = this->requests.find(token);
    assert(request != this->requests.end());
    auto count = this->inProgress.find(request->second);
    assert(count != this->inProgress.end());
    this->requests.erase(request);
    if (--count->second == 0)
        this->inProgress.erase(count);
}

const ServerGrants::Assignment* ServerGrants::find(KeyHash hash) const
{
    auto after = std::upper_bound(this->held.begin(), this->held.end(), hash,
        [](KeyHash value, const Assignment& assignment) { return value < assignment.first; });
    if (after == this->held.begin())
        return nullptr;
    const Assignment& candidate = *std::prev(after);
    return hash <= candidate.last ? &candidate : nullptr;
}

bool ServerGrants::holds(const Assignment& assignment) const
{
    return std::binary_search(this->held.begin(), this->held.end(), assignment);
}

bool ServerGrants::hasLease(TimePoint now) const
{
    return now < this->leaseEnd;
}

}
