#include "LeaseState.h"

#include "Jitter.h"
#include "LeaseTime.h"

#include <algorithm>
#include <cassert>

namespace sequoia::lease {

namespace {

using namespace std::chrono_literals;

constexpr Duration candidacyJitter = 100ms;
// A candidate whose cached record may be good enough waits this long for the table.
constexpr Duration readPatience = 100ms;
constexpr Duration readRetry = 1s;
constexpr Duration retryJitter = 40ms;
constexpr unsigned maxRetryDoublings = 3;
constexpr unsigned maxRoundsWithMinority = 3;
constexpr Duration yieldJitter = 400ms;
// Terms of one generation: at 20 rounds/s, 2^32 last for more than six years without a written row.
constexpr unsigned generationShift = 32;
}

LeaseMachine::State::State(LeaseOptions options, RandomEngine& random)
    : options(std::move(options))
    , random(random)
    , writer(random)
{
}

LeaseOutputs LeaseMachine::State::takeOutputs()
{
    LeaseOutputs taken;
    std::swap(taken, this->outputs);
    return taken;
}

void LeaseMachine::State::emit(std::string kind, std::vector<std::pair<std::string, std::string>> fields)
{
    fields.insert(fields.begin(), { "partition", this->options.partition });
    this->outputs.emplace_back(EmitEvent { std::move(kind), std::move(fields) });
}

std::uint64_t LeaseMachine::State::currentTerm() const
{
    return this->role == LeaseRole::Follower ? this->row.record.term() : this->term;
}

void LeaseMachine::State::tick(TimePoint now)
{
    if (this->released)
        return;
    if (this->role == LeaseRole::Holder) {
        this->holderTick(now);
        return;
    }
    this->replaceLostMajority(now);
    this->candidateTick(now);
}

void LeaseMachine::State::candidateTick(TimePoint now)
{
    switch (this->phase) {
    case Phase::Waiting:
        if (now >= this->nextCandidacy)
            this->startReading(now);
        return;
    case Phase::Reading:
        if (now - this->readSentAt >= readPatience)
            this->readFailed(now);
        return;
    case Phase::Creating:
        this->repeatWrite(now);
        return;
    case Phase::Requesting:
        this->continueRound(now);
        return;
    }
}

void LeaseMachine::State::startReading(TimePoint now)
{
    this->role = LeaseRole::Candidate;
    this->phase = Phase::Reading;
    this->readRecord(now);
}

void LeaseMachine::State::readRecord(TimePoint now)
{
    this->readSentAt = now;
    this->outputs.emplace_back(ReadRecord {});
}

//! The table is down or slow: uses the cached record, or asks the table again later.
void LeaseMachine::State::readFailed(TimePoint now)
{
    bool isCacheUsable = this->row.version > 0 && this->row.version != this->refusedVersion;
    if (isCacheUsable)
        this->startNextRound(now);
    else if (now - this->readSentAt >= readRetry)
        this->readRecord(now);
}

void LeaseMachine::State::recordRead(const RecordRead& message, TimePoint now)
{
    if (this->released)
        return;
    if (succeeded(message.result)) {
        this->rowSeen(valueOf(message.result), now);
        return;
    }
    if (this->role == LeaseRole::Candidate && this->phase == Phase::Reading) {
        this->readFailed(now);
        if (this->phase == Phase::Reading)
            this->attemptFailed(now, readPatience);
    }
}

void LeaseMachine::State::recordCached(const VersionedRecord& cached, TimePoint now)
{
    if (!this->released && cached.version > this->row.version)
        this->rowSeen(cached, now);
}

void LeaseMachine::State::recordWritten(const RecordWritten& message, TimePoint now)
{
    if (this->released)
        return;
    bool readNeeded = false;
    if (auto version = this->writer.onWritten(message, now, readNeeded)) {
        this->rowSeen(VersionedRecord { this->writer.content(), *version }, now);
        return;
    }
    if (readNeeded)
        this->outputs.emplace_back(ReadRecord {});
}

void LeaseMachine::State::rowSeen(const VersionedRecord& seen, TimePoint now)
{
    bool isExpired = this->role == LeaseRole::Holder && !this->isHolder(now);
    if (isExpired)
        this->loseLease(now, "expired");
    auto verdict = this->writer.onRow(seen);
    bool isNewer = !this->isRowKnown || seen.version > this->row.version;
    bool isOurs = seen.record.holder().incarnation() == this->self();
    bool isNewHolder = isNewer && !isOurs && seen.record.term() > this->row.record.term();
    if (isNewer) {
        this->row = seen;
        this->isRowKnown = true;
        this->highestTerm = std::max(this->highestTerm, seen.record.term());
    }
    bool isOurWrite = verdict == RecordWriter::Verdict::Applied && isOurs && seen.record.term() == this->term;
    switch (this->role) {
    case LeaseRole::Follower:
        if (isNewHolder)
            this->follow(now);
        return;
    case LeaseRole::Candidate:
        this->rowSeenAsCandidate(isNewer, isNewHolder, isOurWrite, now);
        return;
    case LeaseRole::Holder:
        if (!isNewer)
            return;
        if (isOurWrite) {
            this->renew(now);
            return;
        }
        this->loseLease(now, "record_changed");
        if (isNewHolder)
            this->follow(now);
        else
            this->startNextRound(now);
        return;
    }
}

void LeaseMachine::State::rowSeenAsCandidate(bool isNewer, bool isNewHolder, bool createdNow, TimePoint now)
{
    bool isWaitingForRow = this->phase == Phase::Reading || (this->phase == Phase::Creating && isNewer);
    if (isNewHolder)
        this->follow(now);
    else if (this->row.version == 0) {
        if (isWaitingForRow)
            this->createRow(now);
    } else if (this->phase == Phase::Creating && createdNow)
        this->startRound(now, this->term, true);
    else if (isWaitingForRow || (isNewer && this->phase == Phase::Requesting))
        this->startNextRound(now);
}

void LeaseMachine::State::createRow(TimePoint now)
{
    this->phase = Phase::Creating;
    this->term = 1;
    if (this->writer.isPending()) {
        this->repeatWrite(now);
        return;
    }
    wire::PartitionRecord content;
    content.set_partition(this->options.partition);
    content.set_term(this->term);
    content.set_generation(1);
    content.set_next_sequence(1);
    *content.mutable_holder() = this->options.self;
    *content.add_witnesses() = this->options.self;
    this->beginWrite(std::move(content), now);
}

void LeaseMachine::State::startNextRound(TimePoint now)
{
    this->startRound(now, this->highestTerm + 1, false);
}

void LeaseMachine::State::startRound(TimePoint now, std::uint64_t roundTerm, bool askAll)
{
    this->role = LeaseRole::Candidate;
    this->phase = Phase::Requesting;
    this->term = roundTerm;
    this->highestTerm = std::max(this->highestTerm, roundTerm);
    this->grants.clear();
    if (this->isSilent && this->hasOtherWitnesses()) {
        this->sendProbes();
        this->attemptFailed(now, probeInterval);
        return;
    }
    this->roundStartedAt = now;
    const auto& record = this->row.record;
    this->round.emplace(record.witnesses(), record.holder().incarnation(), askAll, now);
    this->continueRound(now);
}

void LeaseMachine::State::continueRound(TimePoint now)
{
    if (this->round->isFailed(now)) {
        if (this->hasOtherWitnesses() && this->heardAt < this->roundStartedAt)
            this->isSilent = true;
        this->attemptFailed(now, this->waitAfterRound());
        return;
    }
    for (const auto& witness : this->round->due(now))
        this->sendPromise(witness);
}

Duration LeaseMachine::State::waitAfterRound()
{
    auto wait = this->round->timeUntilMajority();
    if (this->grants.count(this->row.record.witnesses()) == 0)
        return wait;
    if (++this->roundsWithMinority < maxRoundsWithMinority)
        return wait;
    // Each round extends the promises to this candidate. It lets them expire, since another candidate may be able
    // to reach more witnesses.
    this->roundsWithMinority = 0;
    auto promiseLength = withRateBound(this->options.leaseLength, this->options.clockRateBound);
    return std::max(wait, promiseLength + randomBetween(this->random, Duration(0), yieldJitter));
}

void LeaseMachine::State::attemptFailed(TimePoint now, Duration wait)
{
    auto jitter = retryJitter * (1U << std::min(this->attempts, maxRetryDoublings));
    ++this->attempts;
    this->phase = Phase::Waiting;
    this->round.reset();
    this->nextCandidacy = now + wait + randomBetween(this->random, Duration(0), jitter);
}

void LeaseMachine::State::promiseAnswered(const PromiseAnswered& message, TimePoint now)
{
    if (this->released)
        return;
    const auto& reply = message.reply;
    this->highestTerm = std::max(this->highestTerm, reply.promised_term());
    if (reply.outcome() == wire::PROMISE_OUTCOME_OTHER_INCARNATION)
        this->gone.insert(message.witness);
    if (this->role == LeaseRole::Holder && !this->isHolder(now))
        this->loseLease(now, "expired");
    if (message.witness != this->self())
        this->heard(now);
    if (message.term != this->term || message.term == probeTerm)
        return;
    if (this->role == LeaseRole::Holder)
        this->holderAnswered(message, now);
    else if (this->role == LeaseRole::Candidate && this->phase == Phase::Requesting)
        this->roundAnswered(message, now);
}

void LeaseMachine::State::roundAnswered(const PromiseAnswered& message, TimePoint now)
{
    switch (message.reply.outcome()) {
    case wire::PROMISE_OUTCOME_GRANTED:
        this->grants.add(message.witness, message.sentAt, message.generation, message.recordVersion);
        this->round->onGranted(message.witness);
        if (this->leaseEnd() > now) {
            this->becomeHolder(now);
            return;
        }
        break;
    case wire::PROMISE_OUTCOME_LOWER_TERM:
    case wire::PROMISE_OUTCOME_OTHER_CANDIDATE:
        this->round->onRefused(message.witness, fromMillis(message.reply.promise_left_ms()));
        break;
    case wire::PROMISE_OUTCOME_OLD_GENERATION:
    case wire::PROMISE_OUTCOME_OLD_RECORD:
        this->refusedVersion = this->row.version;
        this->attemptFailed(now, Duration(0));
        return;
    case wire::PROMISE_OUTCOME_OTHER_INCARNATION:
        this->round->onGone(message.witness);
        break;
    default:
        return;
    }
    this->continueRound(now);
}

void LeaseMachine::State::becomeHolder(TimePoint now)
{
    this->role = LeaseRole::Holder;
    this->phase = Phase::Waiting;
    this->round.reset();
    this->attempts = 0;
    this->acted = this->row;
    this->holderSince = now;
    this->isTermTooLow = false;
    this->prospect.reset();
    this->emit("lease_acquired",
        { { "term", std::to_string(this->term) }, { "recordVersion", std::to_string(this->row.version) },
            { "recorded", this->isRecorded() ? "yes" : "no" } });
    this->renew(now);
    this->recordTakeover(now);
}

void LeaseMachine::State::holderSeen(TimePoint now)
{
    bool isUnsettled = this->role == LeaseRole::Candidate && this->phase == Phase::Creating;
    if (this->role != LeaseRole::Holder && !isUnsettled)
        this->follow(now);
}

void LeaseMachine::State::follow(TimePoint now)
{
    this->role = LeaseRole::Follower;
    this->phase = Phase::Waiting;
    this->round.reset();
    this->attempts = 0;
    auto promiseLength = withRateBound(this->options.leaseLength, this->options.clockRateBound);
    this->nextCandidacy = now + promiseLength + randomBetween(this->random, Duration(0), candidacyJitter);
}

void LeaseMachine::State::loseLease(TimePoint now, const std::string& reason)
{
    this->emit("lease_lost", { { "term", std::to_string(this->term) }, { "reason", reason } });
    this->role = LeaseRole::Follower;
    this->phase = Phase::Waiting;
    this->grants.clear();
    this->prospect.reset();
    this->nextCandidacy = now + randomBetween(this->random, Duration(0), candidacyJitter);
}

void LeaseMachine::State::release(TimePoint now)
{
    if (this->role == LeaseRole::Holder)
        this->loseLease(now, "released");
    this->role = LeaseRole::Follower;
    this->phase = Phase::Waiting;
    this->released = true;
}

void LeaseMachine::State::setCandidates(std::vector<wire::Process> controllers)
{
    this->candidates = std::move(controllers);
}

void LeaseMachine::State::setGone(std::vector<std::string> incarnations)
{
    this->gone.insert(incarnations.begin(), incarnations.end());
}

bool LeaseMachine::State::isMajorityGone() const
{
    const auto& witnesses = this->row.record.witnesses();
    auto count = std::count_if(witnesses.begin(), witnesses.end(),
        [this](const wire::Process& witness) { return this->gone.contains(witness.incarnation()); });
    // Of an even set, losing half is enough.
    auto left = static_cast<std::size_t>(witnesses.size() - count);
    return !witnesses.empty() && left < majorityOf(witnesses);
}

//! Appoints itself as the only witness, once every lease that the lost witnesses can have supported has ended.
void LeaseMachine::State::replaceLostMajority(TimePoint now)
{
    if (!this->isMajorityGone()) {
        this->majorityGoneSince.reset();
        return;
    }
    if (!this->majorityGoneSince || this->majorityGoneVersion != this->row.version) {
        this->majorityGoneSince = now;
        this->majorityGoneVersion = this->row.version;
        this->emit("majority_lost", { { "recordVersion", std::to_string(this->row.version) } });
    }
    auto leases = this->options.leaseLength + this->options.serverLease;
    bool isOver = now - *this->majorityGoneSince >= withRateBound(leases, this->options.clockRateBound);
    if (!isOver || this->phase == Phase::Creating)
        return;
    this->role = LeaseRole::Candidate;
    this->phase = Phase::Creating;
    if (this->writer.isPending())
        return;
    auto content = this->row.record;
    content.set_generation(content.generation() + 1);
    // The lost witnesses may have granted terms that no row shows. Candidates count up from the row's term by ones,
    // so that a term in the range of the new generation is above all of them.
    this->highestTerm = std::max(this->highestTerm + 1, content.generation() << generationShift);
    this->term = this->highestTerm;
    content.set_term(this->term);
    content.set_lost_majority(true);
    *content.mutable_holder() = this->options.self;
    content.clear_witnesses();
    *content.add_witnesses() = this->options.self;
    this->beginWrite(std::move(content), now);
}

}
