#include "tenure/CoordinatorElection.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace sequoia::tenure {

namespace {

// Minimum interval between writes while the store does not confirm them.
constexpr Duration writeRetryDelay = std::chrono::milliseconds(150);
// Maximum relative difference between the rates of two steady clocks.
constexpr double maxClockRateDifference = 0.02;
constexpr const char* shutdownReason = "this host stops";

}

CoordinatorElection::CoordinatorElection(
    std::string ownIncarnation, std::string ownAddress, ElectionOptions electionOptions, RandomEngine& engine)
    : incarnation(std::move(ownIncarnation))
    , address(std::move(ownAddress))
    , options(electionOptions)
    , random(engine)
{
    assert(electionOptions.takeoverTimeout > electionOptions.leaseDuration);
}

std::vector<ElectionOutput> CoordinatorElection::tick(TimePoint now)
{
    return this->coordinating ? this->tickCoordinator(now) : this->tickFollower(now);
}

std::vector<ElectionOutput> CoordinatorElection::tickCoordinator(TimePoint now)
{
    if (now - this->lastStoreSuccess >= this->options.maxTimeWithoutStore)
        return this->loseRole("the store has not answered for too long");
    if (!this->hasRunWithoutPause(now))
        return this->loseRole("this host was paused and may have been replaced");
    this->lastCoordinatorTick = now;
    if (this->resigning) {
        if (now - this->resignedAt >= this->options.handoverTimeout)
            return this->loseRole("no beacon of a successor was received");
        if (this->writeInProgress || this->resignationSent)
            return {};
        this->resignationSent = true;
        this->writeInProgress = this->makeWrite(now, true);
        this->lastWriteAttempt = now;
        return { *this->writeInProgress };
    }
    if (this->shuttingDown && !this->suspectsStoreOutage(now))
        return this->resign(shutdownReason, now);
    bool storeUnresponsive = now - this->lastStoreSuccess >= this->options.storeOutageTimeout;
    if (this->lastPeerReport && storeUnresponsive && now - *this->lastPeerReport >= this->options.isolationTimeout)
        return this->loseRole("neither the store nor other hosts respond");
    // In a store outage that affects all hosts, hosts still report. Without reports of most of them, this host may be
    // in the smaller part of a partition, while the other part has a new coordinator. Renewals would then keep keys at
    // servers that the new coordinator cannot reach.
    if (storeUnresponsive && this->reportingHosts * 2 < this->reportingHostsAtSuccess)
        return this->loseRole("neither the store nor most hosts respond");
    bool retry = this->writeInProgress && now - this->lastWriteAttempt >= this->options.renewInterval;
    bool due = !this->writeInProgress
        && (now - this->lastRenewal >= this->options.renewInterval || !this->queuedPlans.empty());
    if (due && now - this->lastWriteAttempt < writeRetryDelay && now - this->lastStoreSuccess > writeRetryDelay)
        due = false;
    if (!retry && !due)
        return {};
    if (due)
        this->writeInProgress = this->makeWrite(now, true);
    this->lastWriteAttempt = now;
    return { *this->writeInProgress };
}

std::vector<ElectionOutput> CoordinatorElection::tickFollower(TimePoint now)
{
    if (this->shuttingDown)
        return {};
    if (this->writeInProgress) {
        // A takeover is in flight; its answer or the next read decides.
        if (now - this->lastWriteAttempt >= this->options.takeoverTimeout)
            this->writeInProgress.reset();
        return {};
    }
    // The answer to a read that is sent before the takeover would not show the takeover, so the takeover waits for it.
    if (this->readInProgress)
        return {};
    if (this->takeoverAt && now >= *this->takeoverAt) {
        this->takeoverAt.reset();
        ++this->currentTerm;
        this->writeInProgress = this->makeWrite(now, false);
        this->lastWriteAttempt = now;
        return { *this->writeInProgress };
    }
    auto interval = this->rowIsRenewed ? this->options.readIntervalWhileRenewed : this->options.readInterval;
    bool takeoverSoon = this->takeoverAt && *this->takeoverAt - now < this->options.readInterval;
    if (takeoverSoon || now < this->beaconDeadline || now - this->lastRead < interval)
        return {};
    return this->startRead(now);
}

// Only one read is in progress at a time, so that lastRead, its sending time, bounds the store's clock.
std::vector<ElectionOutput> CoordinatorElection::startRead(TimePoint now)
{
    if (this->readInProgress)
        return {};
    this->readInProgress = true;
    this->lastRead = now;
    return { ReadRow {} };
}

// Returns an upper bound of the store's clock, or 0 if no reading of it is known. The clock was not read before the
// call was sent, so the bound counts from the sending time.
std::int64_t CoordinatorElection::latestStoreMillis(TimePoint now) const
{
    if (!this->storeTime)
        return 0;
    double elapsed = static_cast<double>((now - this->storeTime->localTime).count()) / 1000;
    return this->storeTime->millis + 1 + static_cast<std::int64_t>(std::ceil(elapsed * (1 + maxClockRateDifference)));
}

WriteRow CoordinatorElection::makeWrite(TimePoint now, bool renewal)
{
    wire::Tenure row;
    row.set_term(this->currentTerm);
    row.set_incarnation(this->incarnation);
    row.set_address(this->address);
    row.set_write_number(++this->lastWriteNumber);
    row.set_resigned(this->resigning);
    row.set_store_ms(this->latestStoreMillis(now));
    row.set_hosts(this->reportingHosts > 0 ? static_cast<std::uint32_t>(this->reportingHosts) : this->hostsInRow);
    WriteRow write;
    write.number = this->lastWriteNumber;
    write.expectedVersion = this->rowVersion.value_or(0);
    write.value = row.SerializeAsString();
    if (renewal)
        write.plans = std::move(this->queuedPlans);
    this->queuedPlans.clear();
    this->writeSent = now;
    this->writeOutcomeUnknown = false;
    return write;
}

Duration CoordinatorElection::takeoverDelay()
{
    std::uniform_real_distribution<double> distribution(0, 1);
    double jitter = distribution(this->random);
    if (this->standbyRank > 0)
        return this->options.standbyStagger * (this->standbyRank - 1);
    double weakness = 1 - std::clamp(this->options.processorShare / this->options.sufficientProcessorShare, 0.0, 1.0);
    double delay = weakness * static_cast<double>(this->options.maxWeakHostDelay.count())
        + jitter * static_cast<double>(this->options.takeoverJitter.count());
    return Duration(static_cast<std::int64_t>(delay));
}

void CoordinatorElection::trackRow(RowVersion version, const wire::Tenure& row, TimePoint now)
{
    this->rowIsRenewed = this->rowVersion && *this->rowVersion != version;
    if (!this->rowVersion || *this->rowVersion != version) {
        this->rowVersion = version;
        this->rowUnchangedSince = now;
        this->takeoverAt.reset();
    }
    this->currentTerm = std::max(this->currentTerm, row.term());
    this->hostsInRow = row.hosts();
    this->knownCoordinatorAddress = row.resigned() ? std::string() : row.address();
}

std::vector<ElectionOutput> CoordinatorElection::rowRead(
    RowVersion version, const std::string& value, std::optional<std::int64_t> storeMillis, TimePoint now)
{
    this->readInProgress = false;
    if (storeMillis)
        this->storeTime = StoreTime { *storeMillis, this->lastRead };
    wire::Tenure row;
    // A malformed row names no coordinator, and the next takeover replaces it.
    if (!row.ParseFromString(value))
        row.Clear();
    bool ownRow = row.incarnation() == this->incarnation;
    if (this->writeInProgress && ownRow && row.write_number() == this->writeInProgress->number)
        return this->writeDone(this->writeInProgress->number, WriteOutcome::Written, version, storeMillis, now);
    if (this->coordinating) {
        if (!ownRow)
            return this->loseRole("another host has taken over the row");
        // The write in progress was not carried out; it is sent again with the current version of the row.
        this->rowVersion = version;
        if (this->writeInProgress && !this->writeOutcomeUnknown) {
            this->writeInProgress->expectedVersion = version;
            this->lastWriteAttempt = {};
        }
        return {};
    }
    // Beacons arrive, so the coordinator is alive; the read was a probe of the store.
    if (now < this->beaconDeadline)
        return {};
    this->trackRow(version, row, now);
    if (this->writeInProgress && !this->writeOutcomeUnknown)
        this->writeInProgress.reset();
    if (!this->takeoverAt && !this->writeInProgress && !this->shuttingDown)
        this->scheduleTakeover(row, storeMillis, now);
    return {};
}

// The takeover is a write that expects the version that was read, so that it fails if the coordinator has renewed the
// row in between.
void CoordinatorElection::scheduleTakeover(
    const wire::Tenure& row, std::optional<std::int64_t> storeMillis, TimePoint now)
{
    auto abandonedAt = this->rowUnchangedSince + this->options.takeoverTimeout;
    // The store's clock shows how long ago the coordinator sent its last renewal.
    if (storeMillis && row.store_ms() > 0 && *storeMillis >= row.store_ms())
        abandonedAt
            = std::min(abandonedAt, now + this->options.takeoverTimeout - fromMillis(*storeMillis - row.store_ms()));
    bool unowned = *this->rowVersion == 0 || row.resigned() || row.term() <= this->lastResignedTerm;
    if (unowned)
        abandonedAt = now;
    // The coordinator is alive, and only its beacons do not arrive.
    if (this->rowIsRenewed && abandonedAt > now)
        return;
    this->takeoverAt = std::max(now, abandonedAt) + this->takeoverDelay();
}

void CoordinatorElection::readFailed()
{
    this->readInProgress = false;
}

std::vector<ElectionOutput> CoordinatorElection::writeDone(std::uint64_t number, WriteOutcome outcome,
    RowVersion version, std::optional<std::int64_t> storeMillis, TimePoint now)
{
    if (!this->writeInProgress || this->writeInProgress->number != number)
        return {};
    switch (outcome) {
    case WriteOutcome::Written: {
        auto plans = std::move(this->writeInProgress->plans);
        this->writeInProgress.reset();
        this->rowVersion = version;
        this->lastRenewal = this->writeSent;
        this->lastStoreSuccess = now;
        this->reportingHostsAtSuccess = this->reportingHosts;
        if (storeMillis)
            this->storeTime = StoreTime { *storeMillis, this->writeSent };
        std::vector<ElectionOutput> outputs;
        if (!this->coordinating) {
            this->coordinating = true;
            this->lastCoordinatorTick = now;
            this->lastPeerReport.reset();
            this->reportingHosts = 0;
            this->reportingHostsAtSuccess = 0;
            this->knownCoordinatorAddress = this->address;
            outputs.emplace_back(BecameCoordinator { this->currentTerm });
        }
        if (!plans.empty())
            outputs.emplace_back(PlansWritten { std::move(plans) });
        return outputs;
    }
    case WriteOutcome::Conflict:
        // Either an earlier copy of this write was carried out, or another host has written the row; reading it shows
        // which.
        return this->startRead(now);
    case WriteOutcome::Unknown:
        this->writeOutcomeUnknown = true;
        return this->coordinating ? std::vector<ElectionOutput> {} : this->startRead(now);
    case WriteOutcome::Failed:
        if (!this->coordinating && !this->writeOutcomeUnknown)
            this->writeInProgress.reset();
        return {};
    }
    return {};
}

std::vector<ElectionOutput> CoordinatorElection::beaconReceived(const BeaconInfo& beacon, TimePoint now)
{
    if (beacon.term < this->currentTerm || (this->coordinating && beacon.term == this->currentTerm))
        return {};
    if (this->coordinating)
        return this->loseRole("a coordinator of a later term is active");
    // Another host has taken over before the takeover in flight of this host.
    if (beacon.term > this->currentTerm)
        this->writeInProgress.reset();
    this->currentTerm = beacon.term;
    this->standbyRank = beacon.standbyRank;
    if (beacon.resigned) {
        if (this->lastResignedTerm == beacon.term)
            return {};
        this->lastResignedTerm = beacon.term;
        // Standbys read the row at once instead of after beaconTimeout.
        this->beaconDeadline = beacon.standbyRank > 0 ? now : now + this->options.standbyHeadStart;
        this->lastRead = this->readInProgress ? this->lastRead : TimePoint();
        this->rowVersion.reset();
        this->rowIsRenewed = false;
        return {};
    }
    this->knownCoordinatorAddress = beacon.address;
    this->beaconDeadline = now + this->options.beaconTimeout
        + (beacon.standbyRank > 0 ? Duration::zero() : this->options.standbyHeadStart);
    this->rowIsRenewed = false;
    this->rowVersion.reset();
    this->takeoverAt.reset();
    bool probeRequested = beacon.probeStore && beacon.standbyRank > 0 && !this->shuttingDown;
    if (probeRequested && now - this->lastRead >= this->options.readInterval)
        return this->startRead(now);
    return {};
}

std::vector<ElectionOutput> CoordinatorElection::peerReachedStore(TimePoint now)
{
    if (!this->coordinating || this->resigning || now - this->lastStoreSuccess < this->options.storeOutageTimeout)
        return {};
    this->resigning = true;
    this->resignedAt = now;
    // This host cannot write the row, so its beacons announce the resignation. A write in flight no longer matters.
    this->resignationSent = true;
    this->writeInProgress.reset();
    return { HandoverStarted { "other hosts reach the store and this one does not" } };
}

std::vector<ElectionOutput> CoordinatorElection::resign(const std::string& reason, TimePoint now)
{
    if (!this->coordinating || this->resigning)
        return {};
    this->resigning = true;
    this->resignedAt = now;
    std::vector<ElectionOutput> outputs { HandoverStarted { reason } };
    for (auto& output : this->tick(now))
        outputs.push_back(std::move(output));
    return outputs;
}

std::vector<ElectionOutput> CoordinatorElection::beginShutdown(TimePoint now)
{
    this->shuttingDown = true;
    // During a store outage no other host can take over, so key leases are renewed as long as this process runs.
    return this->suspectsStoreOutage(now) ? std::vector<ElectionOutput> {} : this->resign(shutdownReason, now);
}

std::vector<ElectionOutput> CoordinatorElection::higherFenceSeen(TimePoint)
{
    if (!this->coordinating)
        return {};
    return this->loseRole("a backend server has seen a higher fence");
}

std::vector<ElectionOutput> CoordinatorElection::loseRole(const std::string& reason)
{
    this->coordinating = false;
    this->resigning = false;
    this->resignationSent = false;
    this->writeInProgress.reset();
    this->queuedPlans.clear();
    this->rowVersion.reset();
    this->knownCoordinatorAddress.clear();
    this->takeoverAt.reset();
    this->lastResignedTerm = std::max(this->lastResignedTerm, this->currentTerm);
    return { LostCoordinatorRole { reason } };
}

void CoordinatorElection::queuePlan(const std::string& service, std::string plan)
{
    this->queuedPlans[service] = std::move(plan);
}

bool CoordinatorElection::mayChangeOwners(TimePoint now) const
{
    return this->coordinating && !this->resigning && now - this->lastRenewal < this->options.leaseDuration;
}

bool CoordinatorElection::mayRenewGrants(TimePoint now) const
{
    return this->coordinating && !this->resigning && now - this->lastStoreSuccess < this->options.maxTimeWithoutStore
        && this->hasRunWithoutPause(now);
}

// Standbys do not read the row while they receive beacons, and a paused coordinator has sent none.
bool CoordinatorElection::hasRunWithoutPause(TimePoint now) const
{
    return now - this->lastStoreSuccess < this->options.leaseDuration
        || now - this->lastCoordinatorTick < this->options.maxPause;
}

bool CoordinatorElection::suspectsStoreOutage(TimePoint now) const
{
    return this->coordinating && now - this->lastStoreSuccess >= this->options.storeSuspectTimeout;
}

}
