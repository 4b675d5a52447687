#include "LeaseState.h"
#include "LeaseTime.h"

#include <algorithm>
#include <cassert>

// The holder's part of LeaseMachine::State.
namespace sequoia::lease {

namespace {

using namespace std::chrono_literals;

constexpr int deadAfterLeases = 3;
// The host list lags, so a candidate that does not answer is not tried again for a while.
constexpr Duration silentCandidatePause = 10s;

}

TimePoint LeaseMachine::State::leaseEnd() const
{
    auto sentAt = this->grants.majoritySentAt(this->row.record.witnesses());
    if (sentAt && this->writer.isPending()) {
        // The row may already name the new witnesses.
        auto joint = this->grants.majoritySentAt(this->writer.content().witnesses());
        sentAt = joint ? std::optional(std::min(*sentAt, *joint)) : std::nullopt;
    }
    return sentAt ? *sentAt + this->options.leaseLength : TimePoint();
}

bool LeaseMachine::State::isHolder(TimePoint now) const
{
    return this->role == LeaseRole::Holder && now < this->leaseEnd();
}

bool LeaseMachine::State::isRecorded() const
{
    const auto& record = this->row.record;
    return this->role == LeaseRole::Holder && record.term() == this->term
        && record.holder().incarnation() == this->self();
}

bool LeaseMachine::State::canPropose(TimePoint now) const
{
    // A change is based on record(); made before the newest version is acknowledged, it would undo that version.
    bool isNewest = this->acted.version == this->row.version;
    return this->isHolder(now) && this->isRecorded() && !this->writer.isPending() && isNewest;
}

void LeaseMachine::State::holderTick(TimePoint now)
{
    if (!this->isHolder(now)) {
        this->loseLease(now, "expired");
        return;
    }
    if (now >= this->nextRenew)
        this->renew(now);
    if (this->writer.isPending())
        this->repeatWrite(now);
    else if (!this->isRecorded())
        this->recordTakeover(now);
    else
        this->stepWitnesses(now);
}

void LeaseMachine::State::renew(TimePoint now)
{
    // All answers to one renewal are missing; a round trip may take up to half an interval.
    auto lastHeard = std::max(this->heardAt, this->holderSince);
    bool hasMissedAnswers = now - lastHeard >= this->options.renewInterval * 3 / 2;
    if (!this->hasOtherWitnesses())
        this->isSilent = false;
    else if (hasMissedAnswers && !this->isSilent) {
        this->isSilent = true;
        this->emit("witnesses_silent", { { "term", std::to_string(this->term) } });
    }
    if (this->isSilent) {
        this->nextRenew = now + probeInterval;
        this->sendProbes();
        return;
    }
    this->nextRenew = now + this->options.renewInterval;
    const auto& witnesses = this->row.record.witnesses();
    for (const auto& witness : witnesses)
        this->sendPromise(witness);
    if (this->writer.isPending()) {
        for (const auto& witness : this->writer.content().witnesses()) {
            if (!contains(witnesses, witness.incarnation()))
                this->sendPromise(witness);
        }
    }
    if (this->prospect)
        this->sendPromise(this->prospect->process);
}

bool LeaseMachine::State::hasOtherWitnesses() const
{
    const auto& witnesses = this->row.record.witnesses();
    return std::any_of(witnesses.begin(), witnesses.end(),
        [this](const wire::Process& witness) { return witness.incarnation() != this->self(); });
}

//! An answer shows that this process receives: it asks for promises again at once.
void LeaseMachine::State::heard(TimePoint now)
{
    this->heardAt = now;
    if (!this->isSilent)
        return;
    this->isSilent = false;
    if (this->isHolder(now))
        this->renew(now);
    else if (this->role == LeaseRole::Candidate && this->phase == Phase::Waiting)
        this->nextCandidacy = now;
}

//! Asks the other witnesses for an answer that promises nothing: each promise to a process that cannot receive
//! would only delay the takeover by one that can.
void LeaseMachine::State::sendProbes()
{
    for (const auto& witness : this->row.record.witnesses()) {
        if (witness.incarnation() == this->self())
            continue;
        wire::PromiseRequest request;
        request.set_partition(this->options.partition);
        request.set_term(probeTerm);
        request.set_candidate(this->self());
        request.set_witness(witness.incarnation());
        this->outputs.emplace_back(SendPromise { witness, std::move(request) });
    }
}

void LeaseMachine::State::sendPromise(const wire::Process& witness)
{
    wire::PromiseRequest request;
    request.set_partition(this->options.partition);
    request.set_term(this->term);
    request.set_candidate(this->self());
    // Those of the settled row: a witness that saw a generation that is never written would refuse everyone.
    request.set_generation(this->row.record.generation());
    request.set_record_version(this->row.version);
    request.set_witness(witness.incarnation());
    this->outputs.emplace_back(SendPromise { witness, std::move(request) });
}

void LeaseMachine::State::holderAnswered(const PromiseAnswered& message, TimePoint now)
{
    auto outcome = message.reply.outcome();
    if (outcome == wire::PROMISE_OUTCOME_GRANTED) {
        this->grants.add(message.witness, message.sentAt, message.generation, message.recordVersion);
        const auto& record = this->row.record;
        if (this->grants.hasMajorityAt(record.witnesses(), record.generation(), this->row.version))
            this->acted = this->row;
        return;
    }
    if (outcome == wire::PROMISE_OUTCOME_LOWER_TERM && message.reply.promise_left_ms() == 0)
        this->isTermTooLow = true;
    // It runs, so it can be tried again once its promise to another candidate has ended.
    if (this->prospect && this->prospect->process.incarnation() == message.witness) {
        this->excludedUntil[message.witness] = now + this->options.leaseLength;
        this->prospect.reset();
    }
    bool isBehind = outcome == wire::PROMISE_OUTCOME_OLD_GENERATION || outcome == wire::PROMISE_OUTCOME_OLD_RECORD;
    if (isBehind && now - this->readSentAt >= this->options.renewInterval)
        this->readRecord(now);
}

void LeaseMachine::State::recordTakeover(TimePoint now)
{
    if (this->isRecorded() || this->writer.isPending())
        return;
    auto content = this->row.record;
    content.set_term(this->term);
    *content.mutable_holder() = this->options.self;
    this->beginWrite(std::move(content), now);
}

void LeaseMachine::State::beginWrite(wire::PartitionRecord content, TimePoint now)
{
    this->outputs.emplace_back(this->writer.begin(std::move(content), this->row.version, now));
}

void LeaseMachine::State::repeatWrite(TimePoint now)
{
    if (auto write = this->writer.repeatIfDue(now))
        this->outputs.emplace_back(std::move(*write));
}

void LeaseMachine::State::propose(wire::PartitionRecord changed, TimePoint now)
{
    assert(this->canPropose(now));
    const auto& record = this->row.record;
    changed.set_partition(this->options.partition);
    changed.set_term(record.term());
    changed.set_generation(record.generation());
    *changed.mutable_holder() = record.holder();
    *changed.mutable_witnesses() = record.witnesses();
    this->beginWrite(std::move(changed), now);
}

void LeaseMachine::State::stepWitnesses(TimePoint now)
{
    if (!this->canPropose(now))
        return;
    bool mayRaiseTerm = now - this->holderSince >= this->options.leaseLength * deadAfterLeases;
    if (this->isTermTooLow && mayRaiseTerm) {
        this->raiseTerm(now);
        return;
    }
    auto dead = this->deadWitnesses(now);
    auto excluded = this->excludedCandidates(now);
    auto step = nextWitnessStep(
        { this->row.record.witnesses(), dead, this->candidates, excluded, this->options.witnessCount });
    if (auto* add = std::get_if<AddWitness>(&step))
        this->addWitness(add->process, now);
    else if (auto* remove = std::get_if<RemoveWitness>(&step))
        this->removeWitness(remove->incarnation, now);
}

//! Takes the lease over from itself. A witness that promised a higher term to a candidate without a majority would
//! otherwise refuse this holder for good, and no other process may be there to replace it.
void LeaseMachine::State::raiseTerm(TimePoint now)
{
    this->loseLease(now, "higher_term_promised");
    this->startRound(now, this->highestTerm + 1, true);
}

//! Adds a witness only after it has granted: a set of one or two must not gain a member that does not answer.
void LeaseMachine::State::addWitness(const wire::Process& process, TimePoint now)
{
    const auto& id = process.incarnation();
    if (!this->prospect || this->prospect->process.incarnation() != id) {
        this->prospect = Prospect { process, now };
        this->sendPromise(process);
        return;
    }
    auto granted = this->grants.lastSentAt(id);
    if (!granted || *granted < this->prospect->since) {
        if (now - this->prospect->since >= this->options.leaseLength) {
            this->excludedUntil[id] = now + silentCandidatePause;
            this->prospect.reset();
        }
        return;
    }
    auto content = this->row.record;
    content.set_generation(content.generation() + 1);
    *content.add_witnesses() = process;
    if (!this->keepsLease(content.witnesses(), now))
        return;
    this->prospect.reset();
    this->emit("witness_added", { { "witness", id }, { "generation", std::to_string(content.generation()) } });
    this->beginWrite(std::move(content), now);
}

void LeaseMachine::State::removeWitness(const std::string& incarnation, TimePoint now)
{
    auto content = this->row.record;
    content.set_generation(content.generation() + 1);
    auto* witnesses = content.mutable_witnesses();
    witnesses->erase(std::remove_if(witnesses->begin(), witnesses->end(),
                         [&](const wire::Process& witness) { return witness.incarnation() == incarnation; }),
        witnesses->end());
    if (!this->keepsLease(*witnesses, now))
        return;
    this->excludedUntil[incarnation] = now + silentCandidatePause;
    this->emit(
        "witness_removed", { { "witness", incarnation }, { "generation", std::to_string(content.generation()) } });
    this->beginWrite(std::move(content), now);
}

//! Whether the lease would go on for at least one renewal with this set.
bool LeaseMachine::State::keepsLease(const WitnessList& witnesses, TimePoint now) const
{
    auto sentAt = this->grants.majoritySentAt(witnesses);
    return sentAt && *sentAt + this->options.leaseLength > now + this->options.renewInterval;
}

std::set<std::string> LeaseMachine::State::deadWitnesses(TimePoint now) const
{
    std::set<std::string> dead;
    for (const auto& witness : this->row.record.witnesses()) {
        auto lastGrant = this->grants.lastSentAt(witness.incarnation()).value_or(this->holderSince);
        if (now - lastGrant >= this->options.leaseLength * deadAfterLeases)
            dead.insert(witness.incarnation());
    }
    return dead;
}

std::set<std::string> LeaseMachine::State::excludedCandidates(TimePoint now)
{
    std::erase_if(this->excludedUntil, [&](const auto& entry) { return now >= entry.second; });
    std::set<std::string> excluded;
    for (const auto& [incarnation, until] : this->excludedUntil)
        excluded.insert(incarnation);
    return excluded;
}

}
