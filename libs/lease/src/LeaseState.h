#pragma once

#include "GrantTable.h"
#include "RecordWriter.h"
#include "TakeoverRound.h"
#include "WitnessPlan.h"
#include "lease/LeaseMachine.h"

#include <map>
#include <set>

namespace sequoia::lease {

// Between two probes of silent witnesses; as long as the wait after a round without an answer.
constexpr Duration probeInterval = std::chrono::milliseconds(50);

//! State and transitions of LeaseMachine. Outputs collect in `outputs` until they are taken.
class LeaseMachine::State {
public:
    State(LeaseOptions options, RandomEngine& random);

    void tick(TimePoint now);
    void recordRead(const RecordRead& message, TimePoint now);
    void recordWritten(const RecordWritten& message, TimePoint now);
    void promiseAnswered(const PromiseAnswered& message, TimePoint now);
    void recordCached(const VersionedRecord& cached, TimePoint now);
    void holderSeen(TimePoint now);
    void setCandidates(std::vector<wire::Process> controllers);
    void setGone(std::vector<std::string> incarnations);
    void propose(wire::PartitionRecord changed, TimePoint now);
    void release(TimePoint now);

    bool isHolder(TimePoint now) const;
    bool isRecorded() const;
    bool canPropose(TimePoint now) const;
    LeaseRole currentRole() const { return this->role; }
    std::uint64_t currentTerm() const;
    TimePoint leaseEnd() const;
    TimePoint becameHolder() const { return this->holderSince; }
    const VersionedRecord& record() const { return this->role == LeaseRole::Holder ? this->acted : this->row; }

    LeaseOutputs takeOutputs();

private:
    enum class Phase {
        Waiting, //!< for the next attempt
        Reading,
        Creating, //!< the row, or new witnesses after a lost majority
        Requesting,
    };

    const std::string& self() const { return this->options.self.incarnation(); }
    void emit(std::string kind, std::vector<std::pair<std::string, std::string>> fields);

    // Candidate.
    void candidateTick(TimePoint now);
    void startReading(TimePoint now);
    void readFailed(TimePoint now);
    void createRow(TimePoint now);
    void startRound(TimePoint now, std::uint64_t roundTerm, bool askAll);
    void startNextRound(TimePoint now);
    Duration waitAfterRound();
    void continueRound(TimePoint now);
    void roundAnswered(const PromiseAnswered& message, TimePoint now);
    void attemptFailed(TimePoint now, Duration wait);
    void becomeHolder(TimePoint now);

    // Any role.
    void rowSeen(const VersionedRecord& seen, TimePoint now);
    void rowSeenAsCandidate(bool isNewer, bool isNewHolder, bool createdNow, TimePoint now);
    void follow(TimePoint now);
    void loseLease(TimePoint now, const std::string& reason);
    bool isMajorityGone() const;
    void replaceLostMajority(TimePoint now);
    void repeatWrite(TimePoint now);
    void readRecord(TimePoint now);

    // Holder.
    void holderTick(TimePoint now);
    void holderAnswered(const PromiseAnswered& message, TimePoint now);
    void renew(TimePoint now);
    void recordTakeover(TimePoint now);
    void beginWrite(wire::PartitionRecord content, TimePoint now);
    void stepWitnesses(TimePoint now);
    void addWitness(const wire::Process& process, TimePoint now);
    void removeWitness(const std::string& incarnation, TimePoint now);
    bool keepsLease(const WitnessList& witnesses, TimePoint now) const;
    std::set<std::string> deadWitnesses(TimePoint now) const;
    std::set<std::string> excludedCandidates(TimePoint now);
    void raiseTerm(TimePoint now);
    void sendPromise(const wire::Process& witness);

    // Silence: no other witness answers, so that this process may be unable to receive.
    bool hasOtherWitnesses() const;
    void heard(TimePoint now);
    void sendProbes();

    LeaseOptions options;
    RandomEngine& random;
    LeaseOutputs outputs;

    LeaseRole role = LeaseRole::Follower;
    Phase phase = Phase::Waiting;
    bool released = false;
    std::uint64_t term = 0;
    std::uint64_t highestTerm = 0;

    // The newest row known to be in the table. Version 0 with `isRowKnown`: the row does not exist.
    VersionedRecord row;
    bool isRowKnown = false;
    VersionedRecord acted;
    RecordWriter writer;

    TimePoint nextCandidacy;
    TimePoint readSentAt;
    unsigned attempts = 0;
    unsigned roundsWithMinority = 0;
    // A witness has seen a newer record than this one, so that it is of no use without a read.
    std::uint64_t refusedVersion = 0;
    std::optional<TakeoverRound> round;
    TimePoint roundStartedAt;

    // When another process last answered, and whether promises are not asked for until one does.
    TimePoint heardAt;
    bool isSilent = false;

    GrantTable grants;
    TimePoint holderSince;
    TimePoint nextRenew;
    // A witness whose promise has expired has promised a higher term.
    bool isTermTooLow = false;

    std::vector<wire::Process> candidates;
    struct Prospect {
        wire::Process process;
        TimePoint since;
    };
    std::optional<Prospect> prospect;
    std::map<std::string, TimePoint> excludedUntil;

    std::set<std::string> gone;
    std::optional<TimePoint> majorityGoneSince;
    std::uint64_t majorityGoneVersion = 0;
};

}
