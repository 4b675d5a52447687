#include "lease/LeaseMachine.h"

#include "LeaseState.h"

namespace sequoia::lease {

LeaseMachine::LeaseMachine(LeaseOptions options, RandomEngine& random)
    : state(std::make_unique<State>(std::move(options), random))
{
}

LeaseMachine::~LeaseMachine() = default;

LeaseOutputs LeaseMachine::onTick(TimePoint now)
{
    this->state->tick(now);
    return this->state->takeOutputs();
}

LeaseOutputs LeaseMachine::onRecordRead(const RecordRead& message, TimePoint now)
{
    this->state->recordRead(message, now);
    return this->state->takeOutputs();
}

LeaseOutputs LeaseMachine::onRecordWritten(const RecordWritten& message, TimePoint now)
{
    this->state->recordWritten(message, now);
    return this->state->takeOutputs();
}

LeaseOutputs LeaseMachine::onPromiseAnswered(const PromiseAnswered& message, TimePoint now)
{
    this->state->promiseAnswered(message, now);
    return this->state->takeOutputs();
}

LeaseOutputs LeaseMachine::onRecordCached(const VersionedRecord& cached, TimePoint now)
{
    this->state->recordCached(cached, now);
    return this->state->takeOutputs();
}

void LeaseMachine::onHolderSeen(TimePoint now)
{
    this->state->holderSeen(now);
}

void LeaseMachine::setCandidates(std::vector<wire::Process> controllers)
{
    this->state->setCandidates(std::move(controllers));
}

bool LeaseMachine::isHolder(TimePoint now) const
{
    return this->state->isHolder(now);
}

LeaseRole LeaseMachine::role() const
{
    return this->state->currentRole();
}

std::uint64_t LeaseMachine::term() const
{
    return this->state->currentTerm();
}

TimePoint LeaseMachine::leaseEnd() const
{
    return this->state->leaseEnd();
}

TimePoint LeaseMachine::holderSince() const
{
    return this->state->becameHolder();
}

const VersionedRecord& LeaseMachine::record() const
{
    return this->state->record();
}

bool LeaseMachine::isRecorded() const
{
    return this->state->isRecorded();
}

bool LeaseMachine::canPropose(TimePoint now) const
{
    return this->state->canPropose(now);
}

LeaseOutputs LeaseMachine::propose(wire::PartitionRecord changed, TimePoint now)
{
    this->state->propose(std::move(changed), now);
    return this->state->takeOutputs();
}

void LeaseMachine::setGone(std::vector<std::string> incarnations)
{
    this->state->setGone(std::move(incarnations));
}

LeaseOutputs LeaseMachine::release(TimePoint now)
{
    this->state->release(now);
    return this->state->takeOutputs();
}

}
