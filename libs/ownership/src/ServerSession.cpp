#include "ServerSession.h"

#include <algorithm>
#include <utility>

namespace sequoia::ownership {

namespace {

using namespace std::chrono_literals;

// Servers that have not answered for this long are probed only at the renew interval.
constexpr Duration fastProbePeriod = 5s;
constexpr Duration fastProbeInterval = 100ms;
// Used while a release or an activation is pending, because each round trip adds to the time without service.
constexpr Duration pendingChangeInterval = 50ms;

}

ServerSession::ServerSession(std::string id, const SessionTiming& timing, TimePoint holderSince)
    : id(std::move(id))
    , timing(timing)
    , holderSince(holderSince)
    , lastAnswerSentAt(holderSince)
    // An earlier holder may have issued a grant until this process became holder.
    , leaseEnd(holderSince + timing.leaseWait)
    , blockedUntil(holderSince)
{
}

void ServerSession::setHost(const wire::Host& entry, TimePoint now)
{
    bool moved = !this->host.address().empty() && this->host.address() != entry.address();
    if (moved) {
        // The process at the old address may still run. Only a process at the same address is certainly replaced.
        this->blockedUntil = this->leaseEnd;
        this->fenced = false;
        this->incarnation.clear();
        this->forgetSlices();
    }
    bool hasReturned = this->gone && entry.incarnation() != this->goneIncarnation;
    if (hasReturned)
        this->gone = false;
    this->host = entry;
    if (entry.state() == wire::HOST_STATE_GONE)
        this->markGone();
    if (!this->isLeaving())
        this->leavingSince.reset();
    else if (!this->leavingSince)
        this->leavingSince = now;
    ++this->changes;
}

void ServerSession::markGone()
{
    this->gone = true;
    this->goneIncarnation = this->host.incarnation();
}

std::optional<SendGrant> ServerSession::nextDueGrant(GrantSender& sender, TimePoint now)
{
    if (this->gone || this->host.address().empty())
        return std::nullopt;
    bool isGrantDue = this->hasUnsentChanges && this->fenced && this->hasFreshClockReading(now);
    bool isTimeDue = !this->lastSentAt || now - *this->lastSentAt >= this->interval(now);
    if (!isGrantDue && !isTimeDue)
        return std::nullopt;
    this->lastSentAt = now;
    this->lastFailed = false;
    wire::GrantRequest request = this->nextRequest(sender, now);
    this->lastSentSequence = request.sequence();
    return SendGrant { this->id, this->host.address(), std::move(request) };
}

Duration ServerSession::interval(TimePoint now) const
{
    if (!this->hasFreshClockReading(now)) {
        bool isFastProbing = now - this->lastAnswerSentAt < fastProbePeriod;
        return isFastProbing ? fastProbeInterval : this->timing.renewInterval;
    }
    if (this->isAwaitingConfirmation())
        return pendingChangeInterval;
    return this->lastFailed ? fastProbeInterval : this->timing.renewInterval;
}

wire::GrantRequest ServerSession::nextRequest(GrantSender& sender, TimePoint now)
{
    wire::GrantRequest request;
    request.set_partition(sender.partition);
    request.set_controller(sender.controller);
    request.set_term(sender.term);
    request.set_sequence(++sender.lastSequence);
    // The first request is a probe: a grant would replace the slices that the server still has to report.
    if (this->fenced && this->hasFreshClockReading(now))
        this->addGrantedSlices(request);
    return request;
}

void ServerSession::addGrantedSlices(wire::GrantRequest& request)
{
    request.set_incarnation(this->incarnation);
    request.set_clock_echo_ms(this->serverClockMs);
    request.set_lease_ms(toMillis(this->timing.leaseLength));
    this->leaseEnd = std::max(this->leaseEnd, this->serverClockReceivedAt + this->timing.leaseWait);
    for (auto& [first, entry] : this->granted) {
        if (entry.firstSequence == 0)
            entry.firstSequence = request.sequence();
        wire::GrantedSlice& slice = *request.add_slices();
        slice.set_first(entry.assignment.range.first);
        slice.set_last(entry.assignment.range.last);
        *slice.mutable_epoch() = entry.assignment.epoch.toWire();
    }
    for (Dropped& entry : this->dropped) {
        if (entry.firstSequence == 0)
            entry.firstSequence = request.sequence();
    }
    this->hasUnsentChanges = false;
}

void ServerSession::onGrantAnswered(const GrantAnswered& message, TimePoint now)
{
    this->updateClockReading(message, now);
    this->lastAnswerSentAt = std::max(this->lastAnswerSentAt, message.sentAt);
    bool isAccepted = message.reply.outcome() == wire::GRANT_OUTCOME_ACCEPTED;
    // Ignores a late reply whose state a newer reply has already replaced.
    if (isAccepted && message.request.sequence() >= this->repliedSequence)
        this->applyAcceptedReply(message.reply, message.request.sequence());
}

void ServerSession::updateClockReading(const GrantAnswered& message, TimePoint now)
{
    const wire::GrantReply& reply = message.reply;
    if (reply.incarnation() != this->incarnation) {
        // A restarted server has no grant. A late reply from an earlier run looks the same, so the slices count as held
        // until the server accepts a grant without them.
        this->dropAll();
        this->incarnation = reply.incarnation();
        this->serverClockMs = 0;
    }
    if (reply.clock_ms() > this->serverClockMs) {
        this->serverClockMs = reply.clock_ms();
        this->serverClockReceivedAt = now;
    }
}

void ServerSession::applyAcceptedReply(const wire::GrantReply& reply, std::uint64_t sequence)
{
    if (!this->fenced || this->isAwaitingConfirmation())
        ++this->changes;
    this->fenced = true;
    this->repliedSequence = sequence;
    this->isReportUnderLease = reply.lease_left_ms() > 0 && this->host.checks_orders();
    this->reportedHeld.clear();
    for (const wire::GrantedSlice& slice : reply.held())
        this->reportedHeld.push_back({ { slice.first(), slice.last() }, EpochValue(slice.epoch()) });
    this->reportedReleasing.clear();
    for (const wire::ReleasingSlice& slice : reply.releasing())
        this->reportedReleasing.push_back({ slice.first(), slice.last() });
    std::erase_if(this->dropped,
        [&](const Dropped& entry) { return entry.firstSequence != 0 && entry.firstSequence <= sequence; });
    for (auto& [first, entry] : this->granted) {
        if (entry.firstSequence != 0 && entry.firstSequence <= sequence)
            entry.confirmed = true;
    }
}

void ServerSession::onGrantFailed(std::uint64_t sequence)
{
    if (sequence == this->lastSentSequence)
        this->lastFailed = true;
}

bool ServerSession::expire(TimePoint now)
{
    if (!this->hasLeaseExpired(now))
        return false;
    bool had = !this->granted.empty();
    this->forgetSlices();
    return had;
}

void ServerSession::dropAll()
{
    for (const auto& [first, entry] : this->granted)
        this->dropped.push_back({ entry.assignment.range, 0 });
    this->granted.clear();
    this->reportedReleasing.clear();
    this->isReportUnderLease = false;
    this->setChanged();
}

void ServerSession::forgetSlices()
{
    if (!this->granted.empty() || !this->dropped.empty() || !this->reportedReleasing.empty())
        this->setChanged();
    this->granted.clear();
    this->dropped.clear();
    this->reportedReleasing.clear();
    this->isReportUnderLease = false;
}

bool ServerSession::isFencedOrExpired(TimePoint now) const
{
    return this->gone || this->fenced || this->hasLeaseExpired(now);
}

bool ServerSession::hasLeaseExpired(TimePoint now) const
{
    if (this->gone)
        return true;
    if (this->host.checks_orders())
        return now >= this->leaseEnd;
    return now - this->lastAnswerSentAt >= this->timing.leaseWait;
}

bool ServerSession::hasFreshClockReading(TimePoint now) const
{
    // A lease granted from an older reading would already have expired.
    return !this->incarnation.empty() && now - this->serverClockReceivedAt < this->timing.leaseLength;
}

bool ServerSession::isUsable(TimePoint now) const
{
    bool hasAnsweredRecently = now - this->lastAnswerSentAt < this->timing.leaseLength / 2;
    return !this->gone && this->fenced && this->hasFreshClockReading(now) && hasAnsweredRecently
        && now >= this->blockedUntil;
}

bool ServerSession::isAssignable(TimePoint now) const
{
    return this->isUsable(now) && this->host.state() == wire::HOST_STATE_LIVE;
}

bool ServerSession::hasBeenLeavingFor(Duration duration, TimePoint now) const
{
    return this->leavingSince && now - *this->leavingSince >= duration;
}

bool ServerSession::mayHold(const HashRange& range, TimePoint now) const
{
    if (this->gone)
        return false;
    if (this->wasRoutedRecently(range, now) || now < this->blockedUntil)
        return true;
    if (this->hasLeaseExpired(now))
        return false;
    if (!this->fenced || this->isReleasing(range))
        return true;
    bool isListedHeld = this->isReportUnderLease || !this->host.checks_orders();
    auto overlapsRange = [&](const Assignment& held) { return held.range.overlaps(range); };
    if (isListedHeld && std::any_of(this->reportedHeld.begin(), this->reportedHeld.end(), overlapsRange))
        return true;
    return std::any_of(this->granted.begin(), this->granted.end(),
        [&](const auto& entry) { return entry.second.assignment.range.overlaps(range); });
}

bool ServerSession::isReleasing(const HashRange& range) const
{
    return std::any_of(this->dropped.begin(), this->dropped.end(),
               [&](const Dropped& entry) { return entry.range.overlaps(range); })
        || std::any_of(this->reportedReleasing.begin(), this->reportedReleasing.end(),
            [&](const HashRange& releasing) { return releasing.overlaps(range); });
}

bool ServerSession::isAwaitingConfirmation() const
{
    bool isAdding = std::any_of(
        this->granted.begin(), this->granted.end(), [](const auto& entry) { return !entry.second.confirmed; });
    return isAdding || !this->dropped.empty() || !this->reportedReleasing.empty();
}

bool ServerSession::reportsUnderLease(const Assignment& assignment) const
{
    return this->isReportUnderLease
        && std::find(this->reportedHeld.begin(), this->reportedHeld.end(), assignment) != this->reportedHeld.end();
}

std::optional<EpochValue> ServerSession::reportedEpoch(const HashRange& range) const
{
    std::optional<EpochValue> epoch;
    for (const Assignment& held : this->reportedHeld) {
        if (held.range.overlaps(range) && (!epoch || *epoch < held.epoch))
            epoch = held.epoch;
    }
    return epoch;
}

void ServerSession::setChanged()
{
    this->hasUnsentChanges = true;
    ++this->changes;
}

void ServerSession::add(const Assignment& assignment, bool confirmed)
{
    this->granted[assignment.range.first] = { assignment, 0, confirmed };
    this->setChanged();
}

void ServerSession::drop(const HashRange& range)
{
    if (!this->assigned(range))
        return;
    this->dropped.push_back({ range, 0 });
    this->granted.erase(range.first);
    this->setChanged();
}

const Assignment* ServerSession::assigned(const HashRange& range) const
{
    auto entry = this->granted.find(range.first);
    bool isSame = entry != this->granted.end() && entry->second.assignment.range == range;
    return isSame ? &entry->second.assignment : nullptr;
}

bool ServerSession::isConfirmed(const HashRange& range) const
{
    return this->assigned(range) && this->granted.at(range.first).confirmed;
}

std::vector<Assignment> ServerSession::assignments() const
{
    std::vector<Assignment> all;
    for (const auto& [first, entry] : this->granted)
        all.push_back(entry.assignment);
    return all;
}

void ServerSession::setRouted(const std::vector<HashRange>& ranges, TimePoint now)
{
    for (Routed& entry : this->routed) {
        bool isCurrent = std::find(ranges.begin(), ranges.end(), entry.range) != ranges.end();
        if (isCurrent)
            entry.withdrawnAt.reset();
        else if (!entry.withdrawnAt)
            entry.withdrawnAt = now;
    }
    for (const HashRange& range : ranges) {
        bool isKnown = std::any_of(
            this->routed.begin(), this->routed.end(), [&](const Routed& entry) { return entry.range == range; });
        if (!isKnown)
            this->routed.push_back({ range, std::nullopt });
    }
    std::erase_if(this->routed,
        [&](const Routed& entry) { return entry.withdrawnAt && now >= *entry.withdrawnAt + this->timing.routeWait; });
}

bool ServerSession::wasRoutedRecently(const HashRange& range, TimePoint now) const
{
    return std::any_of(this->routed.begin(), this->routed.end(), [&](const Routed& entry) {
        bool isPast = entry.withdrawnAt && now >= *entry.withdrawnAt + this->timing.routeWait;
        return entry.range.overlaps(range) && !isPast;
    });
}

TimePoint ServerSession::routeEnd(const HashRange& range, TimePoint now) const
{
    // An earlier holder may have answered a route fetch until this process became holder.
    TimePoint lastFetch = this->holderSince;
    for (const Routed& entry : this->routed) {
        if (entry.range.overlaps(range))
            lastFetch = std::max(lastFetch, entry.withdrawnAt.value_or(now));
    }
    return lastFetch + this->timing.routeWait;
}

}
