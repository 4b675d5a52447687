#pragma once

#include "core/Random.h"
#include "lease/LeaseMessages.h"

#include <memory>
#include <variant>
#include <vector>

namespace sequoia::lease {

enum class LeaseRole {
    Follower,
    Candidate,
    Holder,
};

using LeaseOutput = std::variant<ReadRecord, WriteRecord, SendPromise, EmitEvent>;
using LeaseOutputs = std::vector<LeaseOutput>;

//! The controller's side of the lease of one partition (design, 4.1). Pure: no socket and no clock of its own.
//!
//! It is the only writer of the record: at most one conditional write is in flight, and none is issued over
//! one whose outcome is unknown.
class LeaseMachine {
public:
    LeaseMachine(LeaseOptions options, RandomEngine& random);
    ~LeaseMachine();

    LeaseOutputs onTick(TimePoint now);
    LeaseOutputs onRecordRead(const RecordRead& message, TimePoint now);
    LeaseOutputs onRecordWritten(const RecordWritten& message, TimePoint now);
    LeaseOutputs onPromiseAnswered(const PromiseAnswered& message, TimePoint now);

    //! A record learned from another controller; replaces a cached older one.
    LeaseOutputs onRecordCached(const VersionedRecord& cached, TimePoint now);

    //! The holder was heard of just now, by a promise of this process to it or by routes fetched from it.
    void onHolderSeen(TimePoint now);

    //! Controllers that can become witnesses, from the host list; the holder replaces lost witnesses by these.
    void setCandidates(std::vector<wire::Process> controllers);

    //! Whether the lease is valid at this moment. Checked immediately before each external effect.
    bool isHolder(TimePoint now) const;
    LeaseRole role() const;
    std::uint64_t term() const;
    //! End of the lease, for the holder.
    TimePoint leaseEnd() const;
    //! When this controller became holder of the current term.
    TimePoint holderSince() const;

    //! The newest record that this holder may act on: its write's outcome is known and a majority of the
    //! witnesses has seen its version. For a follower, the newest cached record.
    const VersionedRecord& record() const;

    //! Whether the row in the table names this holder and term. False after a takeover during a store outage,
    //! until the row is written.
    bool isRecorded() const;

    //! Whether a new proposal can be accepted now: holder, recorded, no write in flight or of unknown outcome, and
    //! record() is the newest version.
    bool canPropose(TimePoint now) const;

    //! Holder only, when canPropose(): writes a changed record. Term, holder, generation and witnesses are kept by
    //! the machine. record() shows the change once it may be acted on.
    LeaseOutputs propose(wire::PartitionRecord changed, TimePoint now);

    //! Processes that are stopped for certain, by incarnation. When they are a majority of the witnesses, a
    //! candidate appoints new witnesses (design, lost majority).
    void setGone(std::vector<std::string> incarnations);

    //! Gives the lease up at once and never requests it again; a graceful stop calls it.
    LeaseOutputs release(TimePoint now);

private:
    class State;
    std::unique_ptr<State> state;
};

}
