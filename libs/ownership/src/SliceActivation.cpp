#include "SliceActivation.h"

#include <algorithm>

namespace sequoia::ownership {

namespace {

using namespace std::chrono_literals;

// How long a leaving server waits for its move to be recorded before it is drained without it. It must stop receiving
// new requests within 3 s.
constexpr Duration drainRecordTimeout = 1s;

bool isOwnerOrSuccessor(const wire::Slice& slice, const std::string& server, const EpochValue& epoch)
{
    bool isOwner = slice.owner() == server && EpochValue(slice.epoch()) == epoch;
    bool isSuccessor = slice.successor() == server && EpochValue(slice.successor_epoch()) == epoch;
    return isOwner || isSuccessor;
}

}

SliceActivation::SliceActivation(ServerSessions& sessions, EventSink& events)
    : sessions(sessions)
    , events(events)
{
}

void SliceActivation::setRecord(const wire::PartitionRecord& changed)
{
    std::map<KeyHash, SliceState> earlier;
    std::swap(earlier, this->states);
    std::map<KeyHash, const wire::Slice*> slices;
    for (const wire::Slice& slice : changed.slices()) {
        this->sessions.open(slice.owner());
        if (!slice.successor().empty())
            this->sessions.open(slice.successor());
        slices[slice.first()] = &slice;
        auto known = earlier.find(slice.first());
        if (known != earlier.end())
            this->states[slice.first()] = known->second;
    }
    for (auto& [id, session] : this->sessions) {
        for (const Assignment& assignment : session.assignments()) {
            auto slice = slices.find(assignment.range.first);
            bool isNamed = slice != slices.end() && rangeOf(*slice->second) == assignment.range
                && isOwnerOrSuccessor(*slice->second, id, assignment.epoch);
            if (isNamed)
                continue;
            session.drop(assignment.range);
            this->events.emit("slice_withdrawn",
                { { "slice", describe(assignment.range) }, { "server", id }, { "epoch", assignment.epoch.toString() },
                    { "reason", "not_in_record" } });
        }
    }
    this->record = changed;
}

void SliceActivation::setProposal(const wire::PartitionRecord* proposal)
{
    this->hasProposal = proposal != nullptr;
    this->proposed.clear();
    if (!proposal)
        return;
    for (const wire::Slice& slice : proposal->slices())
        this->proposed[slice.first()] = slice;
}

void SliceActivation::decide(TimePoint now)
{
    for (const wire::Slice& slice : this->record.slices())
        this->decideSlice(slice, now);
}

void SliceActivation::decideSlice(const wire::Slice& slice, TimePoint now)
{
    if (ServerSession* server = this->grantedTo(slice)) {
        this->continueGrant(slice, *server, now);
        return;
    }
    SliceState& state = this->stateOf(slice);
    if (!state.server.empty()) {
        const ServerSession* earlier = this->sessions.find(state.server);
        bool isLost = earlier && earlier->hasLeaseExpired(now);
        state.lastLoss = !isLost ? "server_restarted" : earlier->isGone() ? "server_gone" : "server_lease_ended";
        this->events.emit("slice_lost",
            { { "slice", describe(rangeOf(slice)) }, { "server", state.server }, { "reason", state.lastLoss } });
        state.server.clear();
    }
    if (!this->adoptExistingGrant(slice, now))
        this->activate(slice, now);
}

void SliceActivation::continueGrant(const wire::Slice& slice, ServerSession& server, TimePoint now)
{
    bool isMoving = !slice.move_target().empty();
    // The recorded successor may take a slice at any time, so a leaving server is drained even while the move cannot
    // be recorded.
    bool isDrained = !slice.successor().empty() && server.hasBeenLeavingFor(drainRecordTimeout, now);
    if (slice.owner() != server.serverId() || (!isMoving && !isDrained))
        return;
    // The owner keeps the slice until the target can take it.
    const ServerSession* target = this->sessions.find(slice.successor());
    Candidate next { slice.successor(), EpochValue(slice.successor_epoch()), "moved" };
    bool canTargetActivate = target && !target->isLeaving() && this->isReady(slice, next, now);
    if (!canTargetActivate)
        return;
    server.drop(rangeOf(slice));
    SliceState& state = this->stateOf(slice);
    state.server.clear();
    state.lastLoss = "moved";
    this->events.emit("slice_release_requested",
        { { "slice", describe(rangeOf(slice)) }, { "server", server.serverId() }, { "target", slice.successor() },
            { "reason", isMoving ? "move_recorded" : "server_leaving" } });
}

//! Keeps the grant of a server that holds the slice under a valid lease when it is fenced. No other server can hold the
//! slice, so this does not wait for the others: a takeover must not interrupt live servers.
bool SliceActivation::adoptExistingGrant(const wire::Slice& slice, TimePoint now)
{
    HashRange range = rangeOf(slice);
    for (const Candidate& candidate : this->candidatesFor(slice)) {
        const ServerSession* session = this->sessions.find(candidate.server);
        bool isHeld = session && session->reportsUnderLease({ range, candidate.epoch }) && !session->isReleasing(range);
        if (!isHeld || session->hasLeaseExpired(now) || !this->isNamedByProposal(slice, candidate))
            continue;
        this->grant(slice, { candidate.server, candidate.epoch, "held_at_takeover" }, true);
        return true;
    }
    return false;
}

void SliceActivation::activate(const wire::Slice& slice, TimePoint now)
{
    for (const Candidate& candidate : this->candidatesFor(slice)) {
        if (!this->isReady(slice, candidate, now))
            continue;
        // Waits until no other server can hold the slice. A less preferred candidate does not overtake this one.
        if (this->isExclusive(slice, candidate, now))
            this->grant(slice, candidate, false);
        return;
    }
}

bool SliceActivation::isReady(const wire::Slice& slice, const Candidate& candidate, TimePoint now) const
{
    const ServerSession* session = this->sessions.find(candidate.server);
    return session && session->isUsable(now) && this->isEligible(slice, candidate.server)
        && this->isNamedByProposal(slice, candidate);
}

bool SliceActivation::isExclusive(const wire::Slice& slice, const Candidate& candidate, TimePoint now) const
{
    HashRange range = rangeOf(slice);
    const ServerSession* owner = this->sessions.find(slice.owner());
    bool isOwner = candidate.server == slice.owner();
    // An owner that does not check orders may receive requests until routers stop using their routes.
    bool needsRouteEnd = !isOwner && owner && !owner->isGone() && !owner->hostEntry().checks_orders();
    if (needsRouteEnd && now < owner->routeEnd(range, now))
        return false;
    return !this->sessions.mayOtherHold(range, candidate.server, now);
}

bool SliceActivation::isEligible(const wire::Slice& slice, const std::string& server) const
{
    auto state = this->states.find(slice.first());
    EpochValue newest = state == this->states.end() ? EpochValue() : state->second.newestEpoch;
    for (const auto& [id, session] : this->sessions) {
        auto reported = session.reportedEpoch(rangeOf(slice));
        if (reported && newest < *reported)
            newest = *reported;
    }
    // An epoch lower than one already granted must not be granted again: data written under the higher epoch would
    // refuse it.
    EpochValue epoch(slice.owner() == server ? slice.epoch() : slice.successor_epoch());
    return !(epoch < newest);
}

bool SliceActivation::isNamedByProposal(const wire::Slice& slice, const Candidate& candidate) const
{
    if (!this->hasProposal)
        return true;
    auto other = this->proposed.find(slice.first());
    return other != this->proposed.end() && rangeOf(other->second) == rangeOf(slice)
        && isOwnerOrSuccessor(other->second, candidate.server, candidate.epoch);
}

//! Returns owner and successor in order of preference.
std::vector<SliceActivation::Candidate> SliceActivation::candidatesFor(const wire::Slice& slice) const
{
    auto state = this->states.find(slice.first());
    std::string loss = state == this->states.end() ? std::string() : state->second.lastLoss;
    Candidate owner { slice.owner(), EpochValue(slice.epoch()), loss.empty() ? "owner_in_record" : loss };
    std::string cause = slice.move_target().empty() ? "owner_lost" : "move_continued";
    Candidate successor { slice.successor(), EpochValue(slice.successor_epoch()), loss.empty() ? cause : loss };
    if (slice.successor().empty())
        return { owner };
    const ServerSession* session = this->sessions.find(slice.owner());
    bool isLeaving = session && session->isLeaving();
    if (!slice.move_target().empty() || isLeaving)
        return { successor, owner };
    return { owner, successor };
}

void SliceActivation::grant(const wire::Slice& slice, const Candidate& candidate, bool held)
{
    ServerSession& session = this->sessions.open(candidate.server);
    session.add({ rangeOf(slice), candidate.epoch }, held);
    SliceState& state = this->stateOf(slice);
    state.server = candidate.server;
    state.newestEpoch = std::max(state.newestEpoch, candidate.epoch);
    state.lastLoss.clear();
    this->events.emit(held ? "slice_kept" : "slice_activated",
        { { "slice", describe(rangeOf(slice)) }, { "server", candidate.server },
            { "epoch", candidate.epoch.toString() }, { "reason", candidate.reason } });
}

const ServerSession* SliceActivation::assignedTo(const wire::Slice& slice) const
{
    auto state = this->states.find(slice.first());
    if (state == this->states.end() || state->second.server.empty())
        return nullptr;
    const ServerSession* session = this->sessions.find(state->second.server);
    return session && session->assigned(rangeOf(slice)) ? session : nullptr;
}

ServerSession* SliceActivation::grantedTo(const wire::Slice& slice)
{
    const ServerSession* session = this->assignedTo(slice);
    return session ? this->sessions.find(session->serverId()) : nullptr;
}

SliceActivation::SliceState& SliceActivation::stateOf(const wire::Slice& slice)
{
    return this->states[slice.first()];
}

}
