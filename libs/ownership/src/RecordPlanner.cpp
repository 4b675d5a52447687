#include "RecordPlanner.h"

#include "InitialAssignment.h"

#include <algorithm>

namespace sequoia::ownership {

namespace {

// Limits concurrent moves for balance, because each interrupts its slice for a few round trips.
constexpr int maxBalanceMoves = 4;

int countMoves(const wire::PartitionRecord& record)
{
    return static_cast<int>(std::count_if(record.slices().begin(), record.slices().end(),
        [](const wire::Slice& slice) { return !slice.move_target().empty(); }));
}

// Balancing starts when a server owns less than this fraction of its share. A smaller difference can be intended:
// balancing must not undo moves that an operator or the placement policy has requested.
constexpr double underloadedShare = 0.5;

bool isUnderloaded(const ServerSelector& selector, const std::string& server, int slices)
{
    double total = 0;
    for (const auto& [id, host] : selector.assignableServers())
        total += capacityOf(host);
    double share = slices * capacityOf(selector.assignableServers().at(server)) / total;
    return selector.ownedBy(server) < share * underloadedShare;
}

}

RecordPlanner::RecordPlanner(const PartitionOptions& options, ServerSessions& sessions,
    const SliceActivation& activation, EventSink& events, std::uint64_t term)
    : options(options)
    , sessions(sessions)
    , activation(activation)
    , events(events)
    , term(term)
{
}

std::optional<wire::PartitionRecord> RecordPlanner::plan(const wire::PartitionRecord& record, TimePoint now)
{
    Draft draft { record, ServerSelector(this->sessions, record, now) };
    if (record.slices().empty())
        this->planFirstAssignment(draft, now);
    for (wire::Slice& slice : *draft.record.mutable_slices())
        this->planSlice(draft, slice, now);
    this->planRequestedMoves(draft, now);
    this->planDrains(draft, now);
    this->planBalance(draft, now);
    if (!draft.changed)
        return std::nullopt;
    return std::move(draft.record);
}

void RecordPlanner::planFirstAssignment(Draft& draft, TimePoint now)
{
    if (draft.selector.assignableServers().empty() || !this->sessions.areFencedOrExpired(now))
        return;
    assignInitially(draft.record, draft.selector, this->options.slicesPerServer);
    for (wire::Slice& slice : *draft.record.mutable_slices()) {
        *slice.mutable_epoch() = this->newEpoch(draft);
        this->setSuccessor(draft, slice, draft.selector.successorFor(slice));
    }
    draft.changed = true;
    this->events.emit("first_assignment",
        { { "slices", std::to_string(draft.record.slices_size()) },
            { "servers", std::to_string(draft.selector.assignableServers().size()) } });
}

void RecordPlanner::planSlice(Draft& draft, wire::Slice& slice, TimePoint now)
{
    const ServerSession* active = this->activation.assignedTo(slice);
    if (!active) {
        this->replaceOwnerAndSuccessor(draft, slice, now);
        return;
    }
    if (active->serverId() != slice.owner()) {
        if (active->isConfirmed(rangeOf(slice)))
            this->completeActivation(draft, slice);
        return;
    }
    this->replaceSuccessor(draft, slice, now);
}

//! Makes the successor, which has become active, the owner and selects another successor.
void RecordPlanner::completeActivation(Draft& draft, wire::Slice& slice)
{
    std::string earlier = slice.owner();
    draft.selector.countSuccessor(slice, -1);
    draft.selector.countOwner(slice.owner(), -1);
    slice.set_owner(slice.successor());
    *slice.mutable_epoch() = slice.successor_epoch();
    slice.clear_successor();
    draft.selector.countOwner(slice.owner(), 1);
    this->setSuccessor(draft, slice, draft.selector.successorFor(slice));
    this->events.emit("owner_changed",
        { { "slice", describe(rangeOf(slice)) }, { "from", earlier }, { "to", slice.owner() },
            { "epoch", EpochValue(slice.epoch()).toString() }, { "successor", slice.successor() } });
}

//! Reassigns the slice when neither owner nor successor can be activated and no server can hold it.
void RecordPlanner::replaceOwnerAndSuccessor(Draft& draft, wire::Slice& slice, TimePoint now)
{
    auto canReturn = [&](const std::string& server) {
        const ServerSession* session = this->sessions.find(server);
        return session && session->isUsable(now) && this->activation.isEligible(slice, server);
    };
    bool areBothLost = !canReturn(slice.owner()) && !canReturn(slice.successor());
    if (!areBothLost || this->sessions.mayOtherHold(rangeOf(slice), "", now))
        return;
    std::string owner = draft.selector.ownerFor("");
    if (owner.empty())
        return;
    draft.selector.countSuccessor(slice, -1);
    draft.selector.countOwner(slice.owner(), -1);
    std::string earlier = slice.owner();
    slice.set_owner(owner);
    *slice.mutable_epoch() = this->newEpoch(draft);
    slice.clear_successor();
    draft.selector.countOwner(owner, 1);
    this->setSuccessor(draft, slice, draft.selector.successorFor(slice));
    this->events.emit("slice_reassigned",
        { { "slice", describe(rangeOf(slice)) }, { "from", earlier }, { "to", owner },
            { "epoch", EpochValue(slice.epoch()).toString() }, { "reason", "owner_and_successor_lost" } });
}

void RecordPlanner::replaceSuccessor(Draft& draft, wire::Slice& slice, TimePoint now)
{
    const ServerSession* successor = this->sessions.find(slice.successor());
    bool needsReplacement = !successor || this->isLost(slice.successor(), now) || successor->isLeaving();
    if (!needsReplacement || (successor && successor->mayHold(rangeOf(slice), now)))
        return;
    draft.selector.countSuccessor(slice, -1);
    std::string replacement = draft.selector.successorFor(slice);
    draft.selector.countSuccessor(slice, 1);
    if (replacement.empty() || replacement == slice.successor())
        return;
    std::string earlier = slice.successor();
    draft.selector.countSuccessor(slice, -1);
    this->setSuccessor(draft, slice, replacement);
    this->events.emit("successor_changed",
        { { "slice", describe(rangeOf(slice)) }, { "owner", slice.owner() }, { "from", earlier }, { "to", replacement },
            { "reason", successor && successor->isLeaving() ? "successor_leaving" : "successor_lost" } });
}

void RecordPlanner::planRequestedMoves(Draft& draft, TimePoint now)
{
    std::vector<MoveRequested> pendingRequests;
    std::swap(pendingRequests, this->requests);
    for (const MoveRequested& request : pendingRequests) {
        auto& slices = *draft.record.mutable_slices();
        auto slice = std::find_if(slices.begin(), slices.end(),
            [&](const wire::Slice& candidate) { return rangeOf(candidate).contains(request.hash); });
        std::string refusal
            = slice == slices.end() ? "no_assignment_yet" : this->refusalOf(*slice, request.target, now);
        if (refusal.empty()) {
            this->startMove(draft, *slice, request.target, request.reason);
            continue;
        }
        this->events.emit("move_refused",
            { { "hash", std::to_string(request.hash) }, { "target", request.target }, { "refusal", refusal },
                { "reason", request.reason } });
    }
}

void RecordPlanner::planDrains(Draft& draft, TimePoint now)
{
    for (wire::Slice& slice : *draft.record.mutable_slices()) {
        const ServerSession* owner = this->sessions.find(slice.owner());
        if (!owner || !owner->isLeaving())
            continue;
        // Prefers the recorded successors, which are already spread over the other servers.
        const ServerSession* successor = this->sessions.find(slice.successor());
        bool isSuccessorAssignable = successor && successor->isAssignable(now);
        std::string target = isSuccessorAssignable ? slice.successor() : draft.selector.ownerFor(slice.owner());
        if (this->canMove(slice, target, now))
            this->startMove(draft, slice, target, "server_leaving");
    }
}

//! Moves slices from the server with the most slices for its capacity to the one with the fewest.
void RecordPlanner::planBalance(Draft& draft, TimePoint now)
{
    if (draft.changed || countMoves(draft.record) > 0 || !this->sessions.areFencedOrExpired(now))
        return;
    std::string leastLoaded = draft.selector.ownerFor("");
    if (leastLoaded.empty()
        || (!this->isBalancing && !isUnderloaded(draft.selector, leastLoaded, draft.record.slices_size())))
        return;
    this->isBalancing = true;
    auto load = [&](const std::string& server, int extra) {
        return (draft.selector.ownedBy(server) + extra) / capacityOf(draft.selector.assignableServers().at(server));
    };
    for (int count = 0; count < maxBalanceMoves; ++count) {
        std::string target = draft.selector.ownerFor("");
        wire::Slice* best = nullptr;
        for (wire::Slice& slice : *draft.record.mutable_slices()) {
            bool isAssignable = draft.selector.assignableServers().contains(slice.owner());
            if (!isAssignable || slice.owner() == target || !this->canMove(slice, target, now))
                continue;
            // The source must stay at least as loaded as the target, so that no slice is moved back.
            bool isBetter = load(slice.owner(), -1) >= load(target, 1);
            if (isBetter && (!best || load(slice.owner(), 0) > load(best->owner(), 0)))
                best = &slice;
        }
        if (!best) {
            this->isBalancing = count > 0;
            return;
        }
        std::string source = best->owner();
        this->startMove(draft, *best, target, "balance");
        draft.selector.countOwner(source, -1);
        draft.selector.countOwner(target, 1);
    }
}

bool RecordPlanner::canMove(const wire::Slice& slice, const std::string& target, TimePoint now) const
{
    return this->refusalOf(slice, target, now).empty();
}

std::string RecordPlanner::refusalOf(const wire::Slice& slice, const std::string& target, TimePoint now) const
{
    const ServerSession* active = this->activation.assignedTo(slice);
    const ServerSession* server = this->sessions.find(target);
    if (!server || !server->isAssignable(now))
        return "target_not_live";
    if (!active || active->serverId() != slice.owner() || !active->isConfirmed(rangeOf(slice)))
        return "slice_not_active_at_owner";
    if (slice.owner() == target)
        return "target_is_owner";
    if (!slice.move_target().empty())
        return "slice_is_moving";
    const ServerSession* successor = this->sessions.find(slice.successor());
    bool maySuccessorServe = successor && successor->mayHold(rangeOf(slice), now);
    return maySuccessorServe ? "successor_may_be_active" : "";
}

void RecordPlanner::startMove(Draft& draft, wire::Slice& slice, const std::string& target, const std::string& reason)
{
    if (slice.successor() != target) {
        draft.selector.countSuccessor(slice, -1);
        this->setSuccessor(draft, slice, target);
    }
    slice.set_move_target(target);
    *slice.mutable_move_epoch() = slice.successor_epoch();
    draft.changed = true;
    this->events.emit("move_planned",
        { { "slice", describe(rangeOf(slice)) }, { "from", slice.owner() }, { "to", target },
            { "epoch", EpochValue(slice.move_epoch()).toString() }, { "reason", reason } });
}

//! Also cancels a move in progress, because its target was the earlier successor.
void RecordPlanner::setSuccessor(Draft& draft, wire::Slice& slice, const std::string& successor)
{
    slice.clear_move_target();
    slice.clear_move_epoch();
    slice.set_successor(successor);
    slice.clear_successor_epoch();
    if (!successor.empty())
        *slice.mutable_successor_epoch() = this->newEpoch(draft);
    draft.selector.countSuccessor(slice, 1);
    draft.changed = true;
}

wire::Epoch RecordPlanner::newEpoch(Draft& draft) const
{
    std::uint64_t sequence = std::max<std::uint64_t>(draft.record.next_sequence(), 1);
    draft.record.set_next_sequence(sequence + 1);
    return EpochValue(this->term, sequence).toWire();
}

bool RecordPlanner::isLost(const std::string& server, TimePoint now) const
{
    const ServerSession* session = this->sessions.find(server);
    return !session || session->hasLeaseExpired(now);
}

}
