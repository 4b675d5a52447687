#include "relay/RouteRelay.h"

#include <algorithm>
#include <utility>

namespace sequoia::relay {

namespace {

std::pair<std::uint64_t, std::uint64_t> orderOf(const wire::RouteTable& table)
{
    return { table.term(), table.version() };
}

std::pair<std::uint64_t, std::uint64_t> orderOf(const wire::FetchRoutesRequest& request)
{
    return { request.known_term(), request.known_version() };
}

//! A requester without a table gets the record even when there is no table yet.
bool knowsNothing(const wire::FetchRoutesRequest& request)
{
    return request.known_term() == 0 && request.known_version() == 0;
}

}

RouteRelay::RouteRelay(Duration validity)
    : routeValidity(validity)
{
}

RelayReplies RouteRelay::onRequest(RequestId id, const wire::FetchRoutesRequest& request, TimePoint now)
{
    bool newer = orderOf(this->known) > orderOf(request);
    if (newer || this->stopped || request.wait_ms() <= 0)
        return { { id, this->replyTo(request, now) } };
    this->requests[id] = { request, now + fromMillis(request.wait_ms()) };
    return {};
}

RelayReplies RouteRelay::onPublished(const wire::RouteTable& table, TimePoint now)
{
    if (!this->replace(table, now + this->routeValidity))
        return {};
    return this->answer(
        [this](const WaitingRequest& waiting) { return orderOf(this->known) > orderOf(waiting.request); }, now);
}

RelayReplies RouteRelay::onFetched(
    const wire::FetchRoutesRequest& request, const wire::FetchRoutesReply& reply, TimePoint askedAt, TimePoint now)
{
    auto end = askedAt + fromMillis(reply.validity_left_ms());
    if (!reply.changed()) {
        // The validity in an unchanged reply is that of the table named in the request.
        if (orderOf(request) == orderOf(this->known))
            this->validityEnd = std::max(this->validityEnd, end);
        return {};
    }
    if (!this->replace(reply.table(), end))
        return {};
    return this->answer(
        [this](const WaitingRequest& waiting) { return orderOf(this->known) > orderOf(waiting.request); }, now);
}

RelayReplies RouteRelay::onTick(TimePoint now)
{
    return this->answer([now](const WaitingRequest& waiting) { return waiting.end <= now; }, now);
}

RelayReplies RouteRelay::onStop(TimePoint now)
{
    this->stopped = true;
    return this->answer([](const WaitingRequest&) { return true; }, now);
}

void RouteRelay::confirm(std::uint64_t term, TimePoint now)
{
    // A new holder must not extend a table of an earlier term: its own view can differ until it has published.
    if (term != 0 && this->known.term() == term)
        this->validityEnd = now + this->routeValidity;
}

void RouteRelay::setRecord(const lease::VersionedRecord& newest)
{
    if (newest.version > this->record.version)
        this->record = newest;
}

void RouteRelay::setHolder(const wire::Process& process)
{
    this->holder = process;
}

wire::FetchRoutesRequest RouteRelay::nextRequest(Duration wait) const
{
    wire::FetchRoutesRequest request;
    request.set_known_term(this->known.term());
    request.set_known_version(this->known.version());
    request.set_wait_ms(toMillis(wait));
    return request;
}

bool RouteRelay::replace(const wire::RouteTable& table, TimePoint tableValidityEnd)
{
    if (orderOf(table) < orderOf(this->known))
        return false;
    if (orderOf(table) == orderOf(this->known)) {
        this->validityEnd = std::max(this->validityEnd, tableValidityEnd);
        return false;
    }
    this->known = table;
    this->validityEnd = tableValidityEnd;
    return true;
}

wire::FetchRoutesReply RouteRelay::replyTo(const wire::FetchRoutesRequest& request, TimePoint now) const
{
    wire::FetchRoutesReply reply;
    reply.set_changed(orderOf(this->known) > orderOf(request));
    if (reply.changed())
        *reply.mutable_table() = this->known;
    // A requester that knows a higher table learns nothing about the validity of that one here.
    if (orderOf(this->known) >= orderOf(request))
        reply.set_validity_left_ms(std::max<std::int64_t>(0, toMillis(this->validityEnd - now)));
    if (!this->holder.incarnation().empty())
        *reply.mutable_holder() = this->holder;
    reply.set_record_version(this->record.version);
    if (this->record.version > 0 && (reply.changed() || knowsNothing(request)))
        *reply.mutable_record() = this->record.record;
    return reply;
}

template <typename Condition> RelayReplies RouteRelay::answer(Condition condition, TimePoint now)
{
    RelayReplies replies;
    std::erase_if(this->requests, [&](const auto& entry) {
        if (!condition(entry.second))
            return false;
        replies.push_back({ entry.first, this->replyTo(entry.second.request, now) });
        return true;
    });
    return replies;
}

}
