#include "lease/Witness.h"

#include "LeaseTime.h"
#include "lease/LeaseMessages.h"

#include <algorithm>

namespace sequoia::lease {

Witness::Witness(std::string incarnation, Duration leaseLength, double clockRateBound)
    : incarnation(std::move(incarnation))
    , promiseLength(withRateBound(leaseLength, clockRateBound))
{
}

wire::PromiseReply Witness::handle(const wire::PromiseRequest& request, TimePoint now)
{
    auto outcome = this->decide(request, now);
    if (outcome == wire::PROMISE_OUTCOME_GRANTED) {
        this->generation = request.generation();
        this->promisedTerm = request.term();
        this->promisedCandidate = request.candidate();
        this->promiseEnd = now + this->promiseLength;
        this->recordVersion = request.record_version();
    }
    wire::PromiseReply reply;
    reply.set_outcome(outcome);
    reply.set_promised_term(this->promisedTerm);
    reply.set_generation(this->generation);
    reply.set_record_version(this->recordVersion);
    reply.set_witness(this->incarnation);
    reply.set_promise_left_ms(now < this->promiseEnd ? toMillisRoundedUp(this->promiseEnd - now) : 0);
    return reply;
}

bool Witness::hasPromisedOther(const std::string& candidate, TimePoint now) const
{
    return now < this->promiseEnd && this->promisedCandidate != candidate;
}

wire::PromiseOutcome Witness::decide(const wire::PromiseRequest& request, TimePoint now) const
{
    if (request.witness() != this->incarnation)
        return wire::PROMISE_OUTCOME_OTHER_INCARNATION;
    if (request.generation() < this->generation)
        return wire::PROMISE_OUTCOME_OLD_GENERATION;
    if (request.term() == probeTerm)
        return wire::PROMISE_OUTCOME_LOWER_TERM;
    bool otherCandidate = request.candidate() != this->promisedCandidate;
    if (request.term() < this->promisedTerm || (request.term() == this->promisedTerm && otherCandidate))
        return wire::PROMISE_OUTCOME_LOWER_TERM;
    if (this->hasPromisedOther(request.candidate(), now))
        return wire::PROMISE_OUTCOME_OTHER_CANDIDATE;
    if (request.record_version() < this->recordVersion)
        return wire::PROMISE_OUTCOME_OLD_RECORD;
    return wire::PROMISE_OUTCOME_GRANTED;
}

}
