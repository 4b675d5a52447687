#pragma once

#include "core/Clock.h"
#include "core/Random.h"

#include <cstdint>
#include <map>
#include <optional>
#include <peer.pb.h>
#include <string>
#include <variant>
#include <vector>

namespace sequoia::tenure {

using RowVersion = std::uint64_t;

//! Timing of the election of the coordinator and of its lease.
struct ElectionOptions {
    Duration renewInterval = std::chrono::milliseconds(500);
    //! The coordinator may change owners for this time after it sent its last successful renewal.
    Duration leaseDuration = std::chrono::milliseconds(1000);
    //! A coordinator that has not renewed the row for this time has failed. Longer than leaseDuration.
    Duration takeoverTimeout = std::chrono::milliseconds(1300);
    //! A standby that has received no beacon for this time reads the row: four beacon intervals.
    Duration beaconTimeout = std::chrono::milliseconds(600);
    //! Other hosts read the row this much later: a standby that takes over sends them beacons, which saves their reads.
    Duration standbyHeadStart = std::chrono::milliseconds(1000);
    //! Delay between the takeovers of successive standbys; several times the response time of the store.
    Duration standbyStagger = std::chrono::milliseconds(60);
    //! Interval between reads of a row that nobody renews.
    Duration readInterval = std::chrono::milliseconds(400);
    //! Interval between reads of a row that is renewed: its coordinator is alive, and only its beacons do not arrive.
    Duration readIntervalWhileRenewed = std::chrono::milliseconds(2000);
    //! A coordinator that cannot reach the store renews key leases for this time at most.
    Duration maxTimeWithoutStore = std::chrono::seconds(30);
    //! A coordinator that was paused for this long without an answer of the store may have been replaced and steps
    //! down. Shorter than beaconTimeout, after which standbys read the row.
    Duration maxPause = std::chrono::milliseconds(500);
    //! A coordinator whose renewals get no answer for this time asks its standbys to probe the store.
    Duration storeSuspectTimeout = std::chrono::milliseconds(700);
    //! After this time without an answer it hands its role over to a host that reaches the store: two renewals.
    Duration storeOutageTimeout = std::chrono::milliseconds(1200);
    //! During a handover the coordinator places requests until it receives a beacon of its successor, for this time at
    //! most. Shorter than a key lease, which is no longer renewed.
    Duration handoverTimeout = std::chrono::milliseconds(2500);
    //! A coordinator that receives nothing from the store or other hosts for this time is isolated and steps down.
    Duration isolationTimeout = std::chrono::milliseconds(1500);
    //! Hosts with little processor time delay a takeover by up to this time, so that others come first: the coordinator
    //! places the requests of all hosts, which is more than a tenth of a core can do for sixty of them.
    Duration maxWeakHostDelay = std::chrono::milliseconds(900);
    //! Maximum random delay that separates the takeovers of equal hosts.
    Duration takeoverJitter = std::chrono::milliseconds(200);
    double processorShare = 1; //!< share of a processor core of this host
    double sufficientProcessorShare = 0.5; //!< hosts with this share or more do not delay a takeover
};

//! Asks the caller to read the coordinator's row and to report the result to rowRead() or readFailed().
struct ReadRow { };

//! Asks the caller to write the row and the key plans if the row has the expected version, and to report the result to
//! writeDone().
struct WriteRow {
    std::uint64_t number = 0;
    RowVersion expectedVersion = 0;
    std::string value;
    std::map<std::string, std::string> plans; //!< key plans by service
};

struct BecameCoordinator {
    std::uint64_t term = 0;
};

struct LostCoordinatorRole {
    std::string reason;
};

//! This coordinator no longer changes owners, and places requests until it receives a beacon of its successor.
struct HandoverStarted {
    std::string reason;
};

//! The key plans of a write are stored.
struct PlansWritten {
    std::map<std::string, std::string> plans;
};

using ElectionOutput
    = std::variant<ReadRow, WriteRow, BecameCoordinator, LostCoordinatorRole, HandoverStarted, PlansWritten>;

enum class WriteOutcome {
    Written,
    Conflict,
    Failed, //!< The row was not written.
    Unknown, //!< The row may have been written, or may be written later.
};

//! What a beacon says about the coordinator.
struct BeaconInfo {
    std::uint64_t term = 0;
    std::string address; //!< of the coordinator
    bool resigned = false; //!< The coordinator no longer changes owners.
    unsigned standbyRank = 0; //!< from 1; 0 when this host is no standby
    bool probeStore = false; //!< The coordinator asks whether this host reaches the store.
};

//! Elects the host that coordinates: one row in the store names it, and it renews the row while it runs. Does no I/O
//! and reads no clock: calls pass the time and return the outputs to carry out.
//!
//! Each write expects the version of the row that this host wrote last, so that a host that is no longer coordinator
//! cannot change the row.
class CoordinatorElection {
public:
    //! `now` is the time at which this process started.
    CoordinatorElection(std::string incarnation, std::string address, ElectionOptions options, RandomEngine& random);

    std::vector<ElectionOutput> tick(TimePoint now);
    //! `storeMillis` is the store's own steady clock when it answered, if known.
    std::vector<ElectionOutput> rowRead(
        RowVersion version, const std::string& value, std::optional<std::int64_t> storeMillis, TimePoint now);
    void readFailed();
    std::vector<ElectionOutput> writeDone(std::uint64_t number, WriteOutcome outcome, RowVersion version,
        std::optional<std::int64_t> storeMillis, TimePoint now);

    std::vector<ElectionOutput> beaconReceived(const BeaconInfo& beacon, TimePoint now);
    void setProcessorShare(double share) { this->options.processorShare = share; }
    //! Sets the number of hosts that report to this coordinator, itself included.
    void setReportingHosts(std::size_t count) { this->reportingHosts = count; }
    //! Number of hosts in the fleet by the row that was read last; 0 when it is not known.
    std::uint32_t storedHostCount() const { return this->hostsInRow; }
    //! Records that another host has reported to this coordinator.
    void peerReported(TimePoint now) { this->lastPeerReport = now; }
    //! Another host has reported that it reaches the store.
    std::vector<ElectionOutput> peerReachedStore(TimePoint now);
    //! Starts a handover, for example because this host stops.
    std::vector<ElectionOutput> resign(const std::string& reason, TimePoint now);
    //! This host stops: it hands the coordinator role over and does not take it again.
    std::vector<ElectionOutput> beginShutdown(TimePoint now);
    //! A backend server has seen a higher fence, given out by a later coordinator.
    std::vector<ElectionOutput> higherFenceSeen(TimePoint now);

    //! Adds a key plan to the next write.
    void queuePlan(const std::string& service, std::string plan);

    bool isCoordinator() const { return this->coordinating; }
    //! Whether owners may be changed now; to be checked right before each order to a backend server.
    bool mayChangeOwners(TimePoint now) const;
    //! Whether key leases may be renewed now.
    bool mayRenewGrants(TimePoint now) const;
    //! Whether renewals get no answer, so that standbys are asked to probe the store.
    bool suspectsStoreOutage(TimePoint now) const;
    std::uint64_t term() const { return this->currentTerm; }
    bool isResigning() const { return this->resigning; }
    //! Datagram address of the coordinator; empty when none is known.
    const std::string& coordinatorAddress() const { return this->knownCoordinatorAddress; }

private:
    std::vector<ElectionOutput> tickCoordinator(TimePoint now);
    std::vector<ElectionOutput> tickFollower(TimePoint now);
    bool hasRunWithoutPause(TimePoint now) const;
    std::vector<ElectionOutput> loseRole(const std::string& reason);
    std::vector<ElectionOutput> startRead(TimePoint now);
    void scheduleTakeover(const wire::Tenure& row, std::optional<std::int64_t> storeMillis, TimePoint now);
    std::int64_t latestStoreMillis(TimePoint now) const;
    WriteRow makeWrite(TimePoint now, bool renewal);
    void trackRow(RowVersion version, const wire::Tenure& row, TimePoint now);
    Duration takeoverDelay();

    std::string incarnation;
    std::string address;
    ElectionOptions options;
    RandomEngine& random;

    std::uint64_t currentTerm = 0;
    std::string knownCoordinatorAddress;
    std::optional<RowVersion> rowVersion; //!< as last read or written
    TimePoint rowUnchangedSince {};
    bool rowIsRenewed = false; //!< the last read found a newer version than the one before
    //! Without a beacon until then, this host starts to read the row.
    TimePoint beaconDeadline {};
    unsigned standbyRank = 0;
    std::uint32_t hostsInRow = 0; //!< of the row that was read last
    TimePoint lastRead {}; //!< sending time of the read in progress, or of the last one
    bool readInProgress = false;
    //! A reading of the store's clock, and a time of this host's clock that is not later.
    struct StoreTime {
        std::int64_t millis = 0;
        TimePoint localTime {};
    };
    std::optional<StoreTime> storeTime;
    std::optional<TimePoint> takeoverAt;

    bool coordinating = false;
    bool resigning = false;
    bool resignationSent = false;
    bool shuttingDown = false;
    std::uint64_t lastResignedTerm = 0; //!< latest term whose coordinator has resigned or lost its role
    TimePoint resignedAt {};
    std::uint64_t lastWriteNumber = 0;
    std::optional<WriteRow> writeInProgress;
    TimePoint writeSent {}; //!< when the write in progress was first sent
    bool writeOutcomeUnknown = false; //!< the write in progress may have been carried out
    TimePoint lastRenewal {}; //!< sending time of the last successful write
    TimePoint lastWriteAttempt {};
    TimePoint lastStoreSuccess {};
    TimePoint lastCoordinatorTick {};
    std::optional<TimePoint> lastPeerReport; //!< last report of another host in this term
    std::size_t reportingHosts = 0;
    std::size_t reportingHostsAtSuccess = 0; //!< when the store last confirmed a write
    std::map<std::string, std::string> queuedPlans;
};

}
