#include "keyspace/KeyLeaseManager.h"

#include <algorithm>
#include <cassert>

namespace sequoia::keyspace {

namespace {

// The load after one round of moves is measured before the next round.
constexpr Duration rebalanceInterval = std::chrono::milliseconds(300);
// Keys do not move again, and ranges are not merged, for this time after a move.
constexpr Duration cooldownAfterMove = std::chrono::seconds(2);
// The same while surges are spread: their next keys may lie on a server that has just taken some.
constexpr Duration cooldownDuringSurge = std::chrono::milliseconds(600);
// After this many unanswered renewals in a row no more are sent, so that the lease of a lost server expires.
constexpr unsigned maxUnansweredRenewals = 2;
// After this many unanswered grants in a row the keys go to another server.
constexpr unsigned maxUnansweredGrants = 5;
// A server that did not answer its last order is assigned no keys for this time. The entry of a lost server expires in
// about that time; a server that only the coordinator cannot reach is tried again afterwards.
constexpr Duration unresponsiveCooldown = std::chrono::seconds(5);
// Longer than the time-outs of the senders of orders; covers a response that is never reported.
constexpr Duration orderTimeout = std::chrono::seconds(4);
// A lease is renewed, and a failed order repeated, at least this often within it.
constexpr int renewalsPerLease = 4;
constexpr int retriesPerLease = 8;
// Bounds the rate of orders with leases that are too short to be kept.
constexpr Duration shortestOrderInterval = std::chrono::milliseconds(50);

}

KeyLeaseOptions KeyLeaseOptions::limitedTo(Duration longestLease)
{
    KeyLeaseOptions options;
    // Orders state leases in whole milliseconds.
    longestLease = std::chrono::floor<std::chrono::milliseconds>(longestLease);
    options.leaseDuration = std::min(options.leaseDuration, longestLease);
    auto interval = [&](Duration usual, int count) {
        return std::min(usual, std::max(shortestOrderInterval, options.leaseDuration / count));
    };
    options.renewInterval = interval(options.renewInterval, renewalsPerLease);
    options.orderRetryInterval = interval(options.orderRetryInterval, retriesPerLease);
    return options;
}

KeyLeaseManager::KeyLeaseManager(KeyPlan stored, std::uint64_t term, KeyLeaseOptions leaseOptions, TimePoint now)
    : currentPlan(std::move(stored))
    , options(leaseOptions)
{
    this->currentPlan.term = term;
    this->earlierOrdersArrivedBy = now + leaseOptions.maxDeliveryDelay;
    RangeState state;
    // An earlier coordinator may have sent a grant just before this one started.
    state.ownerLeaseEnd
        = this->latestLeaseEnd(now, std::max(leaseOptions.leaseDuration, leaseOptions.maxLeaseDuration));
    state.successorLeaseEnd = state.ownerLeaseEnd;
    this->states.assign(this->currentPlan.ranges.size(), state);
    for (std::size_t i = 0; i < this->states.size(); ++i) {
        if (this->currentPlan.ranges[i].blocked)
            this->states[i].blockedUntil = state.ownerLeaseEnd;
    }
}

void KeyLeaseManager::setServers(const fleet::ServerMap& newServers)
{
    if (this->servers != newServers)
        ++this->planVersion;
    this->servers = newServers;
    for (const auto& [id, entry] : newServers)
        this->lastAddresses[entry.instance] = entry.address;
}

bool KeyLeaseManager::isPresent(const fleet::ServerInstance& instance) const
{
    auto found = this->servers.find(instance.id);
    return found != this->servers.end() && found->second.instance == instance;
}

bool KeyLeaseManager::isReady(const fleet::ServerInstance& instance) const
{
    return this->isPresent(instance) && this->servers.find(instance.id)->second.state == fleet::ServerState::Ready;
}

bool KeyLeaseManager::hasRestarted(const fleet::ServerInstance& instance) const
{
    auto found = this->servers.find(instance.id);
    return found != this->servers.end() && found->second.instance.startMillis > instance.startMillis;
}

Duration KeyLeaseManager::onSlowClock(Duration lease) const
{
    double longest = static_cast<double>(lease.count()) * (1 + this->options.clockRateBound);
    return Duration(static_cast<std::int64_t>(longest));
}

TimePoint KeyLeaseManager::latestLeaseEnd(TimePoint sent, Duration lease) const
{
    return sent + this->onSlowClock(lease) + this->options.maxDeliveryDelay;
}

KeyLeaseManager::TickOutputs KeyLeaseManager::tick(const KeyLoad& load, TimePoint now)
{
    TickOutputs outputs;
    if (this->superseded)
        return outputs;
    if (!this->pendingWrite) {
        if (!this->fencesRaised) {
            this->raiseFences();
            this->fencesRaised = true;
            this->hasUnwrittenChanges = true;
        }
        this->planReplacements(load, now, outputs);
        if (now - this->lastRebalance >= rebalanceInterval) {
            this->lastRebalance = now;
            this->planRebalancing(load, now, outputs);
        }
        if (this->hasUnwrittenChanges)
            this->requestWrite(outputs);
    }
    for (std::size_t i = 0; i < this->states.size(); ++i)
        this->advanceRange(i, now, outputs);
    return outputs;
}

// Grants each owner its keys again under a higher fence, so that servers refuse orders of an earlier coordinator that
// are still in flight.
void KeyLeaseManager::raiseFences()
{
    for (std::size_t i = 0; i < this->currentPlan.ranges.size(); ++i) {
        auto& range = this->currentPlan.ranges[i];
        if (range.successor) {
            range.successor->fence = ++this->currentPlan.lastFence;
            this->states[i].stage = Stage::AwaitingWrite;
        } else if (!range.owner.id.empty()) {
            // Handled as a change to the same owner, so that the fence is written before the grant is sent.
            range.successor = Successor { range.owner, ++this->currentPlan.lastFence };
            this->states[i].stage = Stage::AwaitingWrite;
        }
    }
}

const char* KeyLeaseManager::replacementReason(std::size_t index, TimePoint now) const
{
    const auto& range = this->currentPlan.ranges[index];
    const auto& state = this->states[index];
    if (range.successor) {
        if (!this->isReady(range.successor->server))
            return "successor left";
        if (state.stage == Stage::Granting && state.unansweredOrders >= maxUnansweredGrants)
            return "successor silent";
        return nullptr;
    }
    if (range.owner.id.empty())
        return "no owner";
    if (!this->isPresent(range.owner))
        return this->hasRestarted(range.owner) ? "owner started anew" : "owner gone";
    if (!this->isReady(range.owner))
        return "owner draining";
    if (state.unansweredOrders >= maxUnansweredRenewals && now > state.ownerLeaseEnd)
        return "owner silent";
    return nullptr;
}

void KeyLeaseManager::planReplacements(const KeyLoad& load, TimePoint now, TickOutputs& outputs)
{
    std::vector<bool> needsOwner(this->currentPlan.ranges.size(), false);
    std::vector<const char*> reasons(this->currentPlan.ranges.size(), nullptr);
    bool any = false;
    for (std::size_t i = 0; i < needsOwner.size(); ++i) {
        reasons[i] = this->replacementReason(i, now);
        needsOwner[i] = reasons[i] != nullptr;
        any = any || needsOwner[i];
    }
    if (!any)
        return;
    ServerCapacities usable;
    for (const auto& [server, capacity] : this->capacities) {
        if (this->isReady(server))
            usable[server] = capacity;
    }
    // Keys would wait long for an unresponsive server. If all servers are unresponsive, one still has to be tried.
    for (const auto& [server, at] : this->lastFailedOrderAt) {
        if (usable.size() > 1 && this->isUnresponsive(server, now))
            usable.erase(server);
    }
    auto planBeforeMoves = this->currentPlan;
    for (const auto& move : assignOwners(planBeforeMoves, needsOwner, load, usable))
        this->applyMove(move, reasons[planBeforeMoves.rangeIndexOf(move.keys.first)], outputs);
}

bool KeyLeaseManager::isUnresponsive(const fleet::ServerInstance& server, TimePoint now) const
{
    auto found = this->lastFailedOrderAt.find(server);
    return found != this->lastFailedOrderAt.end() && now - found->second < unresponsiveCooldown;
}

void KeyLeaseManager::recordResponse(std::size_t index, LeaseOrderResult result, TimePoint now)
{
    const auto& range = this->currentPlan.ranges[index];
    const auto& state = this->states[index];
    bool wasSentToSuccessor
        = state.outstandingOrderType == LeaseOrderType::Grant && state.stage == Stage::Granting && range.successor;
    const auto& server = wasSentToSuccessor ? range.successor->server : range.owner;
    if (result == LeaseOrderResult::Accepted)
        this->lastFailedOrderAt.erase(server);
    else
        this->lastFailedOrderAt[server] = now;
}

void KeyLeaseManager::planRebalancing(const KeyLoad& load, TimePoint now, TickOutputs& outputs)
{
    ServerCapacities usable;
    // A server that has just been lost is still listed, and looks idle once its keys have successors.
    for (const auto& [server, capacity] : this->capacities) {
        if (this->isReady(server) && !this->isUnresponsive(server, now))
            usable[server] = capacity;
    }
    auto cooldown = this->surgePolicy == SurgePolicy::SpreadImmediately ? cooldownDuringSurge : cooldownAfterMove;
    for (const auto& move : chooseRebalancingMoves(this->currentPlan, load, usable, this->surgePolicy)) {
        const auto& state = this->states[this->currentPlan.rangeIndexOf(move.keys.first)];
        // An outstanding renewal would delay the release.
        if (state.stage != Stage::Steady || state.outstandingOrder != 0 || now - state.movedAt < cooldown)
            continue;
        this->applyMove(move, "load", outputs);
    }
}

std::size_t KeyLeaseManager::splitRangeAt(std::uint32_t key)
{
    if (key >= fleet::keyCount)
        return this->currentPlan.ranges.size();
    auto index = this->currentPlan.rangeIndexOf(static_cast<fleet::Key>(key));
    if (this->currentPlan.ranges[index].keys.first == key)
        return index;
    auto upper = this->currentPlan.ranges[index];
    upper.keys.first = static_cast<fleet::Key>(key);
    this->currentPlan.ranges[index].keys.last = static_cast<fleet::Key>(key - 1);
    this->currentPlan.ranges.insert(this->currentPlan.ranges.begin() + static_cast<std::ptrdiff_t>(index) + 1, upper);
    // An outstanding order for the whole range counts for both parts.
    auto state = this->states[index];
    this->states.insert(this->states.begin() + static_cast<std::ptrdiff_t>(index) + 1, state);
    return index + 1;
}

void KeyLeaseManager::applyMove(const KeyMove& move, const char* reason, TickOutputs& outputs)
{
    auto begin = this->splitRangeAt(move.keys.first);
    auto end = this->splitRangeAt(std::uint32_t(move.keys.last) + 1);
    for (std::size_t i = begin; i < end; ++i) {
        auto& range = this->currentPlan.ranges[i];
        auto& state = this->states[i];
        outputs.events.push_back(
            { "keys_move", range.keys, range.owner.id, move.target.id, this->currentPlan.lastFence + 1, reason });
        if (range.successor && state.stage == Stage::Granting) {
            // The successor may already hold the keys, so it becomes the owner that has to release them.
            range.owner = range.successor->server;
            range.fence = range.successor->fence;
            state.ownerLeaseEnd = std::max(state.successorLeaseEnd, state.ownerLeaseEnd);
        } else if (range.successor && range.successor->server != move.target) {
            // An earlier coordinator may have granted the keys to this successor.
            state.blockedUntil = std::max(state.blockedUntil, state.successorLeaseEnd);
            range.blocked = range.blocked || state.successorLeaseEnd != TimePoint();
        }
        state.successorLeaseEnd = {};
        range.successor = Successor { move.target, ++this->currentPlan.lastFence };
        state.stage = Stage::AwaitingWrite;
        state.unansweredOrders = 0;
        state.nextOrderAt = {};
    }
    this->hasUnwrittenChanges = true;
    ++this->planVersion;
}

// Merges adjacent ranges that have the same owner and fence and whose leases are confirmed.
void KeyLeaseManager::mergeAdjacentRanges(TimePoint now)
{
    for (std::size_t i = 0; i + 1 < this->currentPlan.ranges.size();) {
        auto& left = this->currentPlan.ranges[i];
        auto& right = this->currentPlan.ranges[i + 1];
        auto& leftState = this->states[i];
        auto& rightState = this->states[i + 1];
        bool canMerge = leftState.stage == Stage::Steady && rightState.stage == Stage::Steady
            && leftState.unansweredOrders == 0 && rightState.unansweredOrders == 0 && leftState.confirmedLeaseEnd > now
            && rightState.confirmedLeaseEnd > now && now - leftState.movedAt > cooldownAfterMove
            && now - rightState.movedAt > cooldownAfterMove;
        if (!canMerge || left.owner != right.owner || left.owner.id.empty() || left.fence != right.fence) {
            ++i;
            continue;
        }
        left.keys.last = right.keys.last;
        leftState.ownerLeaseEnd = std::max(leftState.ownerLeaseEnd, rightState.ownerLeaseEnd);
        leftState.confirmedLeaseEnd = std::min(leftState.confirmedLeaseEnd, rightState.confirmedLeaseEnd);
        leftState.nextOrderAt = {};
        this->currentPlan.ranges.erase(this->currentPlan.ranges.begin() + static_cast<std::ptrdiff_t>(i) + 1);
        this->states.erase(this->states.begin() + static_cast<std::ptrdiff_t>(i) + 1);
    }
}

void KeyLeaseManager::requestWrite(TickOutputs& outputs)
{
    ++this->currentPlan.sequence;
    this->pendingWrite = this->currentPlan.sequence;
    this->hasUnwrittenChanges = false;
    outputs.planToWrite = this->currentPlan;
}

void KeyLeaseManager::confirmWrite(std::uint64_t sequence, TimePoint now)
{
    if (this->pendingWrite != sequence)
        return;
    this->pendingWrite.reset();
    for (std::size_t i = 0; i < this->states.size(); ++i) {
        auto& state = this->states[i];
        if (state.stage != Stage::AwaitingWrite)
            continue;
        const auto& range = this->currentPlan.ranges[i];
        bool sameServer = range.successor && range.owner == range.successor->server;
        state.stage = range.owner.id.empty() || sameServer ? Stage::Granting : Stage::Releasing;
        state.nextOrderAt = now;
    }
    this->mergeAdjacentRanges(now);
    ++this->planVersion;
}

void KeyLeaseManager::advanceRange(std::size_t index, TimePoint now, TickOutputs& outputs)
{
    auto& state = this->states[index];
    if (state.outstandingOrder != 0 && now - state.orderSentAt > orderTimeout) {
        state.outstandingOrder = 0;
        ++state.unansweredOrders;
        this->recordResponse(index, LeaseOrderResult::Unknown, now);
    }
    switch (state.stage) {
    case Stage::AwaitingWrite:
        break;
    case Stage::Steady:
        this->renewLease(index, now, outputs);
        break;
    case Stage::Releasing:
        if (now > state.ownerLeaseEnd) {
            state.stage = Stage::Granting;
            state.outstandingOrder = 0;
            state.unansweredOrders = 0;
            state.nextOrderAt = now;
            state.handover.clear();
            this->sendGrant(index, now, outputs);
        } else if (state.outstandingOrder == 0 && now >= state.nextOrderAt && now >= this->earlierOrdersArrivedBy)
            this->sendRelease(index, now, outputs);
        break;
    case Stage::Granting:
        if (state.outstandingOrder == 0 && now >= state.nextOrderAt)
            this->sendGrant(index, now, outputs);
        break;
    }
}

void KeyLeaseManager::renewLease(std::size_t index, TimePoint now, TickOutputs& outputs)
{
    auto& range = this->currentPlan.ranges[index];
    auto& state = this->states[index];
    if (range.owner.id.empty() || state.outstandingOrder != 0 || now < state.nextOrderAt)
        return;
    // Stops renewing when the owner is to be replaced or does not answer.
    if (!this->isReady(range.owner) || state.unansweredOrders >= maxUnansweredRenewals)
        return;
    auto order = this->makeOrder(index, LeaseOrderType::Grant, range.owner, range.fence);
    order.renewal = true;
    this->setOutstandingOrder(state, order, now);
    state.leaseEndBeforeOrder = state.ownerLeaseEnd;
    // The lease before may be longer, and lasts if this order is lost.
    state.ownerLeaseEnd = std::max(state.ownerLeaseEnd, this->latestLeaseEnd(now, order.leaseDuration));
    state.nextOrderAt = now + this->options.renewInterval;
    outputs.orders.push_back(std::move(order));
}

void KeyLeaseManager::sendRelease(std::size_t index, TimePoint now, TickOutputs& outputs)
{
    auto& range = this->currentPlan.ranges[index];
    auto& state = this->states[index];
    // Uses the successor's fence, so that the owner refuses grants that were sent earlier.
    auto order = this->makeOrder(index, LeaseOrderType::Release, range.owner, range.successor->fence);
    this->setOutstandingOrder(state, order, now);
    state.nextOrderAt = now + this->options.orderRetryInterval;
    outputs.orders.push_back(std::move(order));
}

void KeyLeaseManager::sendGrant(std::size_t index, TimePoint now, TickOutputs& outputs)
{
    auto& range = this->currentPlan.ranges[index];
    auto& state = this->states[index];
    if (!range.successor || !this->isReady(range.successor->server) || now < state.blockedUntil)
        return;
    auto order = this->makeOrder(index, LeaseOrderType::Grant, range.successor->server, range.successor->fence);
    order.handover = state.handover;
    this->setOutstandingOrder(state, order, now);
    state.leaseEndBeforeOrder = state.successorLeaseEnd;
    state.successorLeaseEnd = std::max(state.successorLeaseEnd, this->latestLeaseEnd(now, order.leaseDuration));
    state.nextOrderAt = now + this->options.orderRetryInterval;
    outputs.orders.push_back(std::move(order));
}

LeaseOrder KeyLeaseManager::makeOrder(
    std::size_t index, LeaseOrderType type, const fleet::ServerInstance& server, fleet::FencingToken fence)
{
    LeaseOrder order;
    order.id = ++this->lastOrderId;
    order.type = type;
    order.service = this->currentPlan.service;
    order.server = server;
    // Orders name only the id of a server, so a renewal for the process before a restart may have reached the new
    // process before the server list showed it. The new process therefore has to release the keys of the old one.
    auto entry = this->servers.find(server.id);
    auto address = this->lastAddresses.find(server);
    if (this->hasRestarted(server))
        order.address = entry->second.address;
    else if (address != this->lastAddresses.end())
        order.address = address->second;
    order.keys = this->currentPlan.ranges[index].keys;
    order.fence = fence;
    order.leaseDuration = this->options.leaseDuration;
    return order;
}

void KeyLeaseManager::setOutstandingOrder(RangeState& state, const LeaseOrder& order, TimePoint now)
{
    state.outstandingOrder = order.id;
    state.outstandingOrderType = order.type;
    state.orderSentAt = now;
    state.orderLeaseDuration = order.leaseDuration;
}

void KeyLeaseManager::handleResponse(LeaseOrderId order, const LeaseOrderResponse& response, TimePoint now)
{
    if (order == 0)
        return;
    // Several ranges wait for this response if the range was split after the order was sent.
    for (std::size_t i = 0; i < this->states.size(); ++i) {
        auto& state = this->states[i];
        if (state.outstandingOrder != order)
            continue;
        state.outstandingOrder = 0;
        this->recordResponse(i, response.result, now);
        if (state.outstandingOrderType == LeaseOrderType::Grant)
            this->extendLease(state, response.result, now);
        if (response.result == LeaseOrderResult::HigherFenceSeen) {
            this->superseded = true;
            return;
        }
        if (state.outstandingOrderType == LeaseOrderType::Release) {
            if (state.stage == Stage::Releasing)
                this->handleReleaseResponse(i, response);
        } else if (state.stage == Stage::Steady || state.stage == Stage::Granting)
            this->handleGrantResponse(i, response, now);
    }
}

// A grant that was answered late or timed out may have arrived at any time until now, and its lease starts on arrival.
void KeyLeaseManager::extendLease(RangeState& state, LeaseOrderResult result, TimePoint now) const
{
    if (result != LeaseOrderResult::Accepted && result != LeaseOrderResult::Unknown)
        return;
    auto& leaseEnd = state.stage == Stage::Granting ? state.successorLeaseEnd : state.ownerLeaseEnd;
    leaseEnd = std::max(leaseEnd, now + this->onSlowClock(state.orderLeaseDuration));
}

void KeyLeaseManager::handleReleaseResponse(std::size_t index, const LeaseOrderResponse& response)
{
    auto& state = this->states[index];
    if (response.result != LeaseOrderResult::Accepted) {
        ++state.unansweredOrders;
        return;
    }
    state.stage = Stage::Granting;
    state.unansweredOrders = 0;
    state.handover = response.handover;
    state.nextOrderAt = {};
}

void KeyLeaseManager::handleGrantResponse(std::size_t index, const LeaseOrderResponse& response, TimePoint now)
{
    auto& range = this->currentPlan.ranges[index];
    auto& state = this->states[index];
    if (response.result != LeaseOrderResult::Accepted) {
        ++state.unansweredOrders;
        // A grant that was not sent does not extend the lease.
        if (response.result == LeaseOrderResult::NotSent)
            (state.stage == Stage::Steady ? state.ownerLeaseEnd : state.successorLeaseEnd) = state.leaseEndBeforeOrder;
        // Retries the renewal while the lease lasts.
        if (state.stage == Stage::Steady)
            state.nextOrderAt = now + this->options.orderRetryInterval;
        return;
    }
    state.unansweredOrders = 0;
    auto confirmedEnd = state.orderSentAt + state.orderLeaseDuration;
    if (state.stage == Stage::Granting && range.successor) {
        if (range.owner != range.successor->server)
            state.movedAt = now;
        range.owner = range.successor->server;
        range.fence = range.successor->fence;
        range.successor.reset();
        range.blocked = false;
        state.stage = Stage::Steady;
        state.ownerLeaseEnd = state.successorLeaseEnd;
        state.handover.clear();
        state.nextOrderAt = state.orderSentAt + this->options.renewInterval;
        this->hasUnwrittenChanges = true;
        ++this->planVersion;
    }
    if (state.confirmedLeaseEnd <= now)
        ++this->planVersion;
    state.confirmedLeaseEnd = std::max(state.confirmedLeaseEnd, confirmedEnd);
}

// A coordinator that takes over while this is false has to wait anew for the lease of a lost owner to expire.
bool KeyLeaseManager::isSteady() const
{
    return std::all_of(
        this->states.begin(), this->states.end(), [](const RangeState& state) { return state.stage == Stage::Steady; });
}

balance::Owner KeyLeaseManager::ownerOf(fleet::Key key, TimePoint now) const
{
    auto index = this->currentPlan.rangeIndexOf(key);
    const auto& range = this->currentPlan.ranges[index];
    const auto& state = this->states[index];
    if (!range.successor && !range.owner.id.empty() && now < state.confirmedLeaseEnd && this->isReady(range.owner))
        return { balance::Ownership::Owned, range.owner.id };
    bool waitsForLeaseEnd = (state.stage == Stage::Releasing && state.unansweredOrders > 0) || now < state.blockedUntil;
    bool lost = state.stage == Stage::Steady && state.unansweredOrders >= maxUnansweredRenewals;
    if (waitsForLeaseEnd || lost || (range.owner.id.empty() && !range.successor))
        return { balance::Ownership::Unowned, {} };
    return { balance::Ownership::Moving, {} };
}

}
