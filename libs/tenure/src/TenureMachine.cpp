#include "tenure/TenureMachine.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace sequoia::tenure {

namespace {

// Pause before a write that failed is sent again.
constexpr Duration writeRetry = std::chrono::milliseconds(150);
// Bound of the difference between the rates of two steady clocks.
constexpr double clockRateBound = 0.02;
constexpr const char* stopReason = "this host stops";

}

TenureMachine::TenureMachine(
    std::string ownIncarnation, std::string ownAddress, TenureTerms tenureTerms, RandomEngine& engine)
    : incarnation(std::move(ownIncarnation))
    , address(std::move(ownAddress))
    , terms(tenureTerms)
    , random(engine)
{
    assert(tenureTerms.takeoverAfter > tenureTerms.validity);
}

std::vector<TenureOutput> TenureMachine::tick(TimePoint now)
{
    return this->leading ? this->tickLeading(now) : this->tickFollowing(now);
}

std::vector<TenureOutput> TenureMachine::tickLeading(TimePoint now)
{
    if (now - this->lastSuccess >= this->terms.longestWithoutStore)
        return this->lose("no contact with the store for too long");
    if (!this->isContinuous(now))
        return this->lose("this host stood still and may have been replaced");
    this->lastLeadingTick = now;
    if (this->resigning) {
        if (now - this->resignedAt >= this->terms.handoverLimit)
            return this->lose("no successor was heard");
        if (this->writeInProgress || this->resignationQueued)
            return {};
        this->resignationQueued = true;
        this->writeInProgress = this->makeWrite(now, true);
        this->lastWriteAttempt = now;
        return { *this->writeInProgress };
    }
    if (this->retired && !this->doubtsStore(now))
        return this->resign(stopReason, now);
    bool storeSilent = now - this->lastSuccess >= this->terms.storeSilence;
    if (this->lastPeer && storeSilent && now - *this->lastPeer >= this->terms.isolationLimit)
        return this->lose("neither the store nor other hosts are heard");
    // With the store away for all, hosts are still heard. Without most of them, this may be the smaller part of a
    // partition, whose other part has a new coordinator; renewals would then keep keys at servers it cannot reach.
    if (storeSilent && this->hosts * 2 < this->hostsAtSuccess)
        return this->lose("neither the store nor most hosts are heard");
    bool retry = this->writeInProgress && now - this->lastWriteAttempt >= this->terms.renewInterval;
    bool due = !this->writeInProgress
        && (now - this->lastRenewal >= this->terms.renewInterval || !this->queuedPlans.empty());
    if (due && now - this->lastWriteAttempt < writeRetry && now - this->lastSuccess > writeRetry)
        due = false;
    if (!retry && !due)
        return {};
    if (due)
        this->writeInProgress = this->makeWrite(now, true);
    this->lastWriteAttempt = now;
    return { *this->writeInProgress };
}

std::vector<TenureOutput> TenureMachine::tickFollowing(TimePoint now)
{
    if (this->retired)
        return {};
    if (this->writeInProgress) {
        // A takeover is on its way; its answer or the next read decides.
        if (now - this->lastWriteAttempt >= this->terms.takeoverAfter)
            this->writeInProgress.reset();
        return {};
    }
    // The answer to a read that was sent before the takeover says nothing about it.
    if (this->reading)
        return {};
    if (this->takeoverAt && now >= *this->takeoverAt) {
        this->takeoverAt.reset();
        ++this->currentTerm;
        this->writeInProgress = this->makeWrite(now, false);
        this->lastWriteAttempt = now;
        return { *this->writeInProgress };
    }
    auto interval = this->rowChanges ? this->terms.readIntervalOfLiving : this->terms.readInterval;
    bool takeoverSoon = this->takeoverAt && *this->takeoverAt - now < this->terms.readInterval;
    if (takeoverSoon || now < this->silentFrom || now - this->lastRead < interval)
        return {};
    return this->startRead(now);
}

// One read at a time, so that its sending time bounds the store's clock.
std::vector<TenureOutput> TenureMachine::startRead(TimePoint now)
{
    if (this->reading)
        return {};
    this->reading = true;
    this->lastRead = now;
    return { ReadRow {} };
}

// An upper bound of the store's clock, or 0: the store cannot have been read before the call was sent.
std::int64_t TenureMachine::latestStoreMillis(TimePoint now) const
{
    if (!this->storeTime)
        return 0;
    double elapsed = static_cast<double>((now - this->storeTime->notLater).count()) / 1000;
    return this->storeTime->millis + 1 + static_cast<std::int64_t>(std::ceil(elapsed * (1 + clockRateBound)));
}

WriteRow TenureMachine::makeWrite(TimePoint now, bool renewal)
{
    wire::Tenure row;
    row.set_term(this->currentTerm);
    row.set_incarnation(this->incarnation);
    row.set_address(this->address);
    row.set_write_number(++this->lastWriteNumber);
    row.set_resigned(this->resigning);
    row.set_store_ms(this->latestStoreMillis(now));
    WriteRow write;
    write.number = this->lastWriteNumber;
    write.expected = this->rowVersion.value_or(0);
    write.value = row.SerializeAsString();
    if (renewal)
        write.plans = std::move(this->queuedPlans);
    this->queuedPlans.clear();
    this->writeSent = now;
    this->writeOutcomeOpen = false;
    return write;
}

Duration TenureMachine::takeoverDelay()
{
    std::uniform_real_distribution<double> jitter(0, 1);
    double chance = jitter(this->random);
    if (this->heirRank > 0)
        return this->terms.heirSpread * (this->heirRank - 1);
    double weakness = 1 - std::clamp(this->terms.strength / this->terms.fullStrength, 0.0, 1.0);
    double wait = weakness * static_cast<double>(this->terms.weakestWait.count())
        + chance * static_cast<double>(this->terms.takeoverSpread.count());
    return Duration(static_cast<std::int64_t>(wait));
}

void TenureMachine::followRow(RowVersion version, const wire::Tenure& row, TimePoint now)
{
    this->rowChanges = this->rowVersion && *this->rowVersion != version;
    if (!this->rowVersion || *this->rowVersion != version) {
        this->rowVersion = version;
        this->rowUnchangedSince = now;
        this->takeoverAt.reset();
    }
    this->currentTerm = std::max(this->currentTerm, row.term());
    this->knownAddress = row.resigned() ? std::string() : row.address();
}

std::vector<TenureOutput> TenureMachine::rowRead(
    RowVersion version, const std::string& value, std::optional<std::int64_t> storeMillis, TimePoint now)
{
    this->reading = false;
    if (storeMillis)
        this->storeTime = StoreTime { *storeMillis, this->lastRead };
    wire::Tenure row;
    // A row that cannot be read names nobody, and the next takeover replaces it.
    if (!row.ParseFromString(value))
        row.Clear();
    bool own = row.incarnation() == this->incarnation;
    if (this->writeInProgress && own && row.write_number() == this->writeInProgress->number)
        return this->writeDone(this->writeInProgress->number, WriteOutcome::Written, version, storeMillis, now);
    if (this->leading) {
        if (!own)
            return this->lose("another host has the row");
        // The write in progress was not done; it is sent again on top of the row as it is.
        this->rowVersion = version;
        if (this->writeInProgress && !this->writeOutcomeOpen) {
            this->writeInProgress->expected = version;
            this->lastWriteAttempt = {};
        }
        return {};
    }
    // The coordinator lives and asked whether this host reaches the store.
    if (now < this->silentFrom)
        return {};
    this->followRow(version, row, now);
    if (this->writeInProgress && !this->writeOutcomeOpen)
        this->writeInProgress.reset();
    if (!this->takeoverAt && !this->writeInProgress && !this->retired)
        this->planTakeover(row, storeMillis, now);
    return {};
}

// The takeover is a write that expects the row as it was read, so that it fails when the coordinator renews before.
void TenureMachine::planTakeover(const wire::Tenure& row, std::optional<std::int64_t> storeMillis, TimePoint now)
{
    auto abandonedAt = this->rowUnchangedSince + this->terms.takeoverAfter;
    // The store's clock shows how long ago the coordinator sent its last renewal.
    if (storeMillis && row.store_ms() > 0 && *storeMillis >= row.store_ms())
        abandonedAt
            = std::min(abandonedAt, now + this->terms.takeoverAfter - fromMillis(*storeMillis - row.store_ms()));
    bool unowned = *this->rowVersion == 0 || row.resigned() || row.term() <= this->resignedTerm;
    if (unowned)
        abandonedAt = now;
    // The coordinator lives, and only its beacons do not arrive.
    if (this->rowChanges && abandonedAt > now)
        return;
    this->takeoverAt = std::max(now, abandonedAt) + this->takeoverDelay();
}

void TenureMachine::readFailed()
{
    this->reading = false;
}

std::vector<TenureOutput> TenureMachine::writeDone(std::uint64_t number, WriteOutcome outcome, RowVersion version,
    std::optional<std::int64_t> storeMillis, TimePoint now)
{
    if (!this->writeInProgress || this->writeInProgress->number != number)
        return {};
    switch (outcome) {
    case WriteOutcome::Written: {
        auto plans = std::move(this->writeInProgress->plans);
        this->writeInProgress.reset();
        this->rowVersion = version;
        this->lastRenewal = this->writeSent;
        this->lastSuccess = now;
        this->hostsAtSuccess = this->hosts;
        if (storeMillis)
            this->storeTime = StoreTime { *storeMillis, this->writeSent };
        std::vector<TenureOutput> outputs;
        if (!this->leading) {
            this->leading = true;
            this->lastLeadingTick = now;
            this->lastPeer.reset();
            this->hosts = 0;
            this->hostsAtSuccess = 0;
            this->knownAddress = this->address;
            outputs.emplace_back(BecameCoordinator { this->currentTerm });
        }
        if (!plans.empty())
            outputs.emplace_back(PlansWritten { std::move(plans) });
        return outputs;
    }
    case WriteOutcome::Conflict:
        // Either an earlier copy of this write was done, or another host has the row; the row tells.
        return this->startRead(now);
    case WriteOutcome::Unknown:
        this->writeOutcomeOpen = true;
        return this->leading ? std::vector<TenureOutput> {} : this->startRead(now);
    case WriteOutcome::Failed:
        if (!this->leading && !this->writeOutcomeOpen)
            this->writeInProgress.reset();
        return {};
    }
    return {};
}

std::vector<TenureOutput> TenureMachine::beaconReceived(const BeaconNews& news, TimePoint now)
{
    if (news.term < this->currentTerm || (this->leading && news.term == this->currentTerm))
        return {};
    if (this->leading)
        return this->lose("a coordinator of a later term is active");
    // A takeover that is still on its way was overtaken.
    if (news.term > this->currentTerm)
        this->writeInProgress.reset();
    this->currentTerm = news.term;
    this->heirRank = news.heirRank;
    if (news.resigned) {
        if (this->resignedTerm == news.term)
            return {};
        this->resignedTerm = news.term;
        // The row is read at once by the heirs, instead of after a silence.
        this->silentFrom = news.heirRank > 0 ? now : now + this->terms.heirLead;
        this->lastRead = this->reading ? this->lastRead : TimePoint();
        this->rowVersion.reset();
        this->rowChanges = false;
        return {};
    }
    this->knownAddress = news.address;
    this->silentFrom = now + this->terms.beaconSilence + (news.heirRank > 0 ? Duration::zero() : this->terms.heirLead);
    this->rowChanges = false;
    this->rowVersion.reset();
    this->takeoverAt.reset();
    bool asked = news.askStore && news.heirRank > 0 && !this->retired;
    if (asked && now - this->lastRead >= this->terms.readInterval)
        return this->startRead(now);
    return {};
}

std::vector<TenureOutput> TenureMachine::peerReachesStore(TimePoint now)
{
    if (!this->leading || this->resigning || now - this->lastSuccess < this->terms.storeSilence)
        return {};
    this->resigning = true;
    this->resignedAt = now;
    // The row cannot be written from here; the beacons tell. A write on its way no longer matters.
    this->resignationQueued = true;
    this->writeInProgress.reset();
    return { HandsOver { "other hosts reach the store and this one does not" } };
}

std::vector<TenureOutput> TenureMachine::resign(const std::string& reason, TimePoint now)
{
    if (!this->leading || this->resigning)
        return {};
    this->resigning = true;
    this->resignedAt = now;
    std::vector<TenureOutput> outputs { HandsOver { reason } };
    for (auto& output : this->tick(now))
        outputs.push_back(std::move(output));
    return outputs;
}

std::vector<TenureOutput> TenureMachine::retire(TimePoint now)
{
    this->retired = true;
    // While the store is away nobody can follow; the grants are renewed as long as this process lives.
    return this->doubtsStore(now) ? std::vector<TenureOutput> {} : this->resign(stopReason, now);
}

std::vector<TenureOutput> TenureMachine::superseded(TimePoint)
{
    if (!this->leading)
        return {};
    return this->lose("a backend server has seen a higher fence");
}

std::vector<TenureOutput> TenureMachine::lose(const std::string& reason)
{
    this->leading = false;
    this->resigning = false;
    this->resignationQueued = false;
    this->writeInProgress.reset();
    this->queuedPlans.clear();
    this->rowVersion.reset();
    this->knownAddress.clear();
    this->takeoverAt.reset();
    this->resignedTerm = std::max(this->resignedTerm, this->currentTerm);
    return { LostDuty { reason } };
}

void TenureMachine::queuePlan(const std::string& service, std::string plan)
{
    this->queuedPlans[service] = std::move(plan);
}

bool TenureMachine::mayChange(TimePoint now) const
{
    return this->leading && !this->resigning && now - this->lastRenewal < this->terms.validity;
}

bool TenureMachine::mayRenew(TimePoint now) const
{
    return this->leading && !this->resigning && now - this->lastSuccess < this->terms.longestWithoutStore
        && this->isContinuous(now);
}

// Heirs do not look at the row while they hear beacons; a coordinator that stood still has sent none.
bool TenureMachine::isContinuous(TimePoint now) const
{
    return now - this->lastSuccess < this->terms.validity || now - this->lastLeadingTick < this->terms.standstillLimit;
}

bool TenureMachine::doubtsStore(TimePoint now) const
{
    return this->leading && now - this->lastSuccess >= this->terms.storeDoubt;
}

}
