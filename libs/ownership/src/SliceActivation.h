#pragma once

#include "EventSink.h"
#include "ServerSessions.h"

#include <map>
#include <optional>

namespace sequoia::ownership {

//! Grants each slice to at most one server at a time, which must be its owner or successor in the record.
class SliceActivation {
public:
    SliceActivation(ServerSessions& sessions, EventSink& events);

    //! Sets a new record and withdraws grants that it does not name.
    void setRecord(const wire::PartitionRecord& record);
    //! Sets the proposed record, which may take effect at any time, or null. While there is one, only servers that both
    //! records name are activated, because a later holder probes the servers of whichever record it finds.
    void setProposal(const wire::PartitionRecord* proposal);

    void decide(TimePoint now);

    //! The server to which the slice is granted, or null.
    const ServerSession* assignedTo(const wire::Slice& slice) const;
    //! Whether `server`, the owner or successor, has an epoch that may still be granted.
    bool isEligible(const wire::Slice& slice, const std::string& server) const;

private:
    struct Candidate {
        std::string server;
        EpochValue epoch;
        std::string reason;
    };
    struct SliceState {
        std::string server; //!< server to which the slice is granted; empty when none
        EpochValue newestEpoch; //!< highest epoch known to have been granted
        std::string lastLoss; //!< why the last grant ended
    };

    SliceState& stateOf(const wire::Slice& slice);
    ServerSession* grantedTo(const wire::Slice& slice);
    void decideSlice(const wire::Slice& slice, TimePoint now);
    void continueGrant(const wire::Slice& slice, ServerSession& server, TimePoint now);
    bool adoptExistingGrant(const wire::Slice& slice, TimePoint now);
    void activate(const wire::Slice& slice, TimePoint now);
    bool isReady(const wire::Slice& slice, const Candidate& candidate, TimePoint now) const;
    bool isExclusive(const wire::Slice& slice, const Candidate& candidate, TimePoint now) const;
    bool isNamedByProposal(const wire::Slice& slice, const Candidate& candidate) const;
    std::vector<Candidate> candidatesFor(const wire::Slice& slice) const;
    void grant(const wire::Slice& slice, const Candidate& candidate, bool held);

    ServerSessions& sessions;
    EventSink& events;
    wire::PartitionRecord record;
    std::map<KeyHash, wire::Slice> proposed; //!< by first hash
    bool hasProposal = false;
    std::map<KeyHash, SliceState> states; //!< by first hash
};

}
