#pragma once

#include "EventSink.h"
#include "ServerSelector.h"
#include "ServerSessions.h"
#include "SliceActivation.h"

#include <optional>
#include <vector>

namespace sequoia::ownership {

//! Plans the next record and combines all due changes in one write.
class RecordPlanner {
public:
    RecordPlanner(const PartitionOptions& options, ServerSessions& sessions, const SliceActivation& activation,
        EventSink& events, std::uint64_t term);

    void requestMove(const MoveRequested& request) { this->requests.push_back(request); }

    //! Returns the changed record, or nothing when there is no change to write.
    std::optional<wire::PartitionRecord> plan(const wire::PartitionRecord& record, TimePoint now);

private:
    //! Working copy of the record during one planning pass.
    struct Draft {
        wire::PartitionRecord record;
        ServerSelector selector;
        bool changed = false;
    };

    void planFirstAssignment(Draft& draft, TimePoint now);
    void planSlice(Draft& draft, wire::Slice& slice, TimePoint now);
    void completeActivation(Draft& draft, wire::Slice& slice);
    void replaceOwnerAndSuccessor(Draft& draft, wire::Slice& slice, TimePoint now);
    void replaceSuccessor(Draft& draft, wire::Slice& slice, TimePoint now);
    void planRequestedMoves(Draft& draft, TimePoint now);
    void planDrains(Draft& draft, TimePoint now);
    void planBalance(Draft& draft, TimePoint now);
    bool canMove(const wire::Slice& slice, const std::string& target, TimePoint now) const;
    std::string refusalOf(const wire::Slice& slice, const std::string& target, TimePoint now) const;
    void startMove(Draft& draft, wire::Slice& slice, const std::string& target, const std::string& reason);
    void setSuccessor(Draft& draft, wire::Slice& slice, const std::string& successor);
    wire::Epoch newEpoch(Draft& draft) const;
    bool isLost(const std::string& server, TimePoint now) const;

    const PartitionOptions& options;
    ServerSessions& sessions;
    const SliceActivation& activation;
    EventSink& events;
    std::uint64_t term;
    std::vector<MoveRequested> requests;
    bool isBalancing = false;
};

}
