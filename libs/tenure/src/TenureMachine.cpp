#include "tenure/TenureMachine.h"

#include <algorithm>
#include <cassert>

namespace sequoia::tenure {

namespace {

// Pause before a write that failed is sent again.
constexpr Duration writeRetry = std::chrono::milliseconds(150);

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
    if (this->leading) {
        if (!this->mayRenew(now))
            return this->lose("no contact with the store for too long");
        if (this->lastPeer && this->storeSilent(now) && now - *this->lastPeer >= this->terms.isolationLimit)
            return this->lose("neither the store nor other hosts are heard");
        if (this->resigning && !this->writeInProgress) {
            if (this->resignationQueued)
                return {};
            this->resignationQueued = true;
            this->writeInProgress = this->makeWrite(now, true);
            this->lastWriteAttempt = now;
            return { *this->writeInProgress };
        }
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
    if (this->retired)
        return {};
    if (this->writeInProgress) {
        // A takeover is on its way; its answer or the next read decides.
        if (now - this->lastWriteAttempt >= this->terms.takeoverAfter)
            this->writeInProgress.reset();
        return {};
    }
    if (this->takeoverAt && now >= *this->takeoverAt) {
        this->takeoverAt.reset();
        ++this->currentTerm;
        this->writeInProgress = this->makeWrite(now, false);
        this->lastWriteAttempt = now;
        return { *this->writeInProgress };
    }
    bool silent = now - this->lastBeacon >= this->terms.beaconSilence;
    auto interval = this->rowChanges ? this->terms.readIntervalOfLiving : this->terms.readInterval;
    if (silent && !this->reading && now - this->lastRead >= interval) {
        this->reading = true;
        this->lastRead = now;
        return { ReadRow {} };
    }
    return {};
}

WriteRow TenureMachine::makeWrite(TimePoint now, bool renewal)
{
    wire::Tenure row;
    row.set_term(this->currentTerm);
    row.set_incarnation(this->incarnation);
    row.set_address(this->address);
    row.set_write_number(++this->lastWriteNumber);
    row.set_resigned(this->resigning);
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
    double weakness = 1 - std::clamp(this->terms.strength / this->terms.fullStrength, 0.0, 1.0);
    std::uniform_real_distribution<double> jitter(0, static_cast<double>(this->terms.takeoverSpread.count()));
    double wait = weakness * static_cast<double>(this->terms.weakestWait.count()) + jitter(this->random);
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
    this->rowResigned = row.resigned();
}

std::vector<TenureOutput> TenureMachine::rowRead(RowVersion version, const std::string& value, TimePoint now)
{
    this->reading = false;
    wire::Tenure row;
    // A row that cannot be read names nobody, and the next takeover replaces it.
    if (!row.ParseFromString(value))
        row.Clear();
    bool own = row.incarnation() == this->incarnation;
    if (this->writeInProgress && own && row.write_number() == this->writeInProgress->number)
        return this->writeDone(this->writeInProgress->number, WriteOutcome::Written, version, now);
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
    this->followRow(version, row, now);
    if (this->writeInProgress && !this->writeOutcomeOpen)
        this->writeInProgress.reset();
    bool unowned = version == 0 || this->rowResigned;
    bool abandoned = now - this->rowUnchangedSince >= this->terms.takeoverAfter;
    if ((unowned || abandoned) && !this->takeoverAt && !this->writeInProgress)
        this->takeoverAt = now + this->takeoverDelay();
    return {};
}

void TenureMachine::readFailed()
{
    this->reading = false;
}

std::vector<TenureOutput> TenureMachine::writeDone(
    std::uint64_t number, WriteOutcome outcome, RowVersion version, TimePoint now)
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
        std::vector<TenureOutput> outputs;
        if (!this->leading) {
            this->leading = true;
            this->lastPeer.reset();
            this->knownAddress = this->address;
            outputs.emplace_back(BecameCoordinator { this->currentTerm });
        }
        if (!plans.empty())
            outputs.emplace_back(PlansWritten { std::move(plans) });
        return outputs;
    }
    case WriteOutcome::Conflict:
        // Either an earlier copy of this write was done, or another host has the row; the row tells.
        this->reading = true;
        this->lastRead = now;
        return { ReadRow {} };
    case WriteOutcome::Unknown:
        this->writeOutcomeOpen = true;
        if (!this->leading) {
            this->reading = true;
            this->lastRead = now;
            return { ReadRow {} };
        }
        return {};
    case WriteOutcome::Failed:
        if (!this->leading && !this->writeOutcomeOpen)
            this->writeInProgress.reset();
        return {};
    }
    return {};
}

std::vector<TenureOutput> TenureMachine::beaconReceived(std::uint64_t term, bool resigned, TimePoint now)
{
    if (term < this->currentTerm || (this->leading && term == this->currentTerm))
        return {};
    if (this->leading)
        return this->lose("a coordinator of a later term is active");
    this->currentTerm = term;
    if (resigned) {
        if (this->resignedTerm == term)
            return {};
        this->resignedTerm = term;
        // Reads the row at once instead of waiting for silence.
        this->lastBeacon = {};
        this->lastRead = {};
        this->rowChanges = false;
        return {};
    }
    this->lastBeacon = now;
    this->rowChanges = false;
    this->takeoverAt.reset();
    return {};
}

std::vector<TenureOutput> TenureMachine::peerReachesStore(TimePoint now)
{
    if (!this->leading || !this->storeSilent(now))
        return {};
    return this->lose("other hosts reach the store and this one does not");
}

std::vector<TenureOutput> TenureMachine::resign(TimePoint now)
{
    if (!this->leading || this->resigning)
        return {};
    this->resigning = true;
    return this->tick(now);
}

std::vector<TenureOutput> TenureMachine::retire(TimePoint now)
{
    this->retired = true;
    return this->resign(now);
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
    return { LostDuty { reason } };
}

void TenureMachine::queuePlan(const std::string& service, std::string plan)
{
    this->queuedPlans[service] = std::move(plan);
}

bool TenureMachine::mayChange(TimePoint now) const
{
    return this->leading && now - this->lastRenewal < this->terms.validity;
}

bool TenureMachine::mayRenew(TimePoint now) const
{
    return this->leading && now - this->lastSuccess < this->terms.longestWithoutStore;
}

bool TenureMachine::storeSilent(TimePoint now) const
{
    return now - this->lastSuccess >= this->terms.validity * 2;
}

}
