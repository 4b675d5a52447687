#include "dispatch/RequestStateMachine.h"

#include <algorithm>
#include <cassert>

namespace sequoia::dispatch {

namespace {

constexpr Duration baseBackoff = std::chrono::milliseconds(10);
constexpr Duration maxBackoff = std::chrono::milliseconds(500);
constexpr unsigned maxDoublings = 6;

//! Exponential backoff with jitter over its upper half, so that requests that failed together do not retry together.
Duration backoffAfter(AttemptNumber attempts, RandomEngine& random)
{
    auto doublings = std::min(attempts > 0 ? attempts - 1 : 0, maxDoublings);
    auto upperBound = std::min(maxBackoff, baseBackoff * (1U << doublings));
    std::uniform_int_distribution<Duration::rep> jitter(upperBound.count() / 2, upperBound.count());
    return Duration(jitter(random));
}

}

//! Handles one event and collects the resulting actions.
class RequestStateMachine::EventHandler {
public:
    EventHandler(RequestStateMachine& owner, TimePoint time, RandomEngine& engine)
        : machine(owner)
        , now(time)
        , random(engine)
    {
    }

    std::vector<RequestAction> actions;

    void operator()(const event::SlotGranted&)
    {
        if (this->machine.currentState != RequestState::Received
            && this->machine.currentState != RequestState::Admitted)
            return;
        this->machine.currentState = RequestState::Connecting;
        this->machine.retryAt.reset();
        this->machine.attemptExpiry = this->now + this->machine.requestOptions.attemptTimeout;
        this->actions.emplace_back(action::SendAttempt { ++this->machine.attempt });
    }

    void operator()(const event::NoRoute&)
    {
        if (this->machine.currentState != RequestState::Received
            && this->machine.currentState != RequestState::Admitted)
            return;
        ++this->machine.attempt;
        this->retryOrRefuse(RefusalCode::NoOwner);
    }

    void operator()(const event::AdmissionRefused& refused) { this->refuse(refused.code); }

    void operator()(const event::ConnectionFailed& failed)
    {
        if (!this->isCurrent(failed.attempt))
            return;
        if (this->machine.currentState != RequestState::Connecting) {
            this->attemptFailed(RefusalCode::ConnectionLost);
            return;
        }
        this->actions.emplace_back(action::ReleaseSlot {});
        this->actions.emplace_back(action::RefreshRoutes {});
        this->retryOrRefuse(RefusalCode::ServerUnreachable);
    }

    void operator()(const event::FirstByteSent& sent)
    {
        if (this->isCurrent(sent.attempt) && this->machine.currentState == RequestState::Connecting)
            this->machine.currentState = RequestState::Sending;
    }

    void operator()(const event::RequestSent& sent)
    {
        if (this->isCurrent(sent.attempt) && this->machine.currentState == RequestState::Sending)
            this->machine.currentState = RequestState::AwaitingResponse;
    }

    void operator()(const event::ResponseHead& head)
    {
        if (!this->isCurrent(head.attempt))
            return;
        if (this->machine.currentState == RequestState::Streaming
            || this->machine.currentState == RequestState::Connecting) {
            this->cancelAttempt();
            this->attemptFailed(RefusalCode::BadResponse);
            return;
        }
        this->machine.currentState = RequestState::Streaming;
        this->actions.emplace_back(action::StreamHead {});
    }

    void operator()(const event::BodyChunk& chunk)
    {
        if (this->isCurrent(chunk.attempt) && this->machine.currentState == RequestState::Streaming)
            this->actions.emplace_back(action::StreamChunk {});
    }

    void operator()(const event::ResponseComplete& complete)
    {
        if (!this->isCurrent(complete.attempt))
            return;
        if (this->machine.currentState != RequestState::Streaming) {
            this->attemptFailed(RefusalCode::BadResponse);
            return;
        }
        this->actions.emplace_back(action::ReleaseSlot {});
        this->actions.emplace_back(action::CompleteResponse {});
        this->finish(Outcome::Answered);
    }

    void operator()(const event::ConnectionLost& lost)
    {
        if (this->isCurrent(lost.attempt))
            this->attemptFailed(RefusalCode::ConnectionLost);
    }

    void operator()(const event::BadResponse& bad)
    {
        if (this->isCurrent(bad.attempt))
            this->attemptFailed(RefusalCode::BadResponse);
    }

    void operator()(const event::ServerRejected& rejected)
    {
        if (!this->isCurrent(rejected.attempt))
            return;
        if (this->machine.currentState == RequestState::Streaming) {
            this->attemptFailed(RefusalCode::BadResponse);
            return;
        }
        this->actions.emplace_back(action::ReleaseSlot {});
        this->actions.emplace_back(action::RefreshRoutes {});
        this->retryOrRefuse(RefusalCode::ServerRejected);
    }

    void operator()(const event::BodyNotReplayable&) { this->machine.bodyReplayable = false; }

    void operator()(const event::CallerBodyRefused& refused) { this->abortRequest(refused.code); }

    void operator()(const event::CallerGone&) { this->abortRequest(RefusalCode::CallerGone); }

    void operator()(const event::TimerExpired&)
    {
        if (this->now >= this->machine.requestOptions.deadline) {
            this->abortRequest(RefusalCode::DeadlineExceeded);
            return;
        }
        if (this->machine.attemptExpiry && this->now >= *this->machine.attemptExpiry)
            this->attemptTimedOut();
        else if (this->machine.retryAt && this->now >= *this->machine.retryAt) {
            this->machine.retryAt.reset();
            this->actions.emplace_back(action::AcquireSlot {});
        }
    }

private:
    bool isCurrent(AttemptNumber number) const
    {
        return this->machine.attemptActive() && number == this->machine.attempt;
    }

    void cancelAttempt() { this->actions.emplace_back(action::CancelAttempt { this->machine.attempt }); }

    void attemptTimedOut()
    {
        this->machine.attemptExpiry.reset();
        bool nothingSent = this->machine.currentState == RequestState::Connecting;
        if (!nothingSent && !this->machine.requestOptions.repeatable)
            return;
        // Without a retry to replace it, the attempt goes on, since it may still succeed before the deadline.
        if (this->machine.currentState == RequestState::Streaming || !this->machine.mayRetry(this->now))
            return;
        this->cancelAttempt();
        if (!nothingSent) {
            this->attemptFailed(RefusalCode::DeadlineExceeded);
            return;
        }
        this->actions.emplace_back(action::ReleaseSlot {});
        this->actions.emplace_back(action::RefreshRoutes {});
        this->retryOrRefuse(RefusalCode::ServerUnreachable);
    }

    //! Handles the end of an attempt that may have sent a byte.
    void attemptFailed(RefusalCode code)
    {
        this->machine.mayHaveRunCode = code;
        this->actions.emplace_back(action::ReleaseSlot {});
        if (this->machine.currentState == RequestState::Streaming) {
            this->actions.emplace_back(action::AbortResponse {});
            this->machine.refusalCode = code;
            this->finish(Outcome::Unknown);
            return;
        }
        if (this->machine.requestOptions.repeatable)
            this->retryOrRefuse(code);
        else
            this->refuse(code);
    }

    void retryOrRefuse(RefusalCode code)
    {
        this->machine.attemptExpiry.reset();
        auto delay = backoffAfter(this->machine.attempt, this->random);
        bool allowed = this->machine.mayRetry(this->now) && this->now + delay < this->machine.requestOptions.deadline;
        if (!allowed || !this->machine.budget.tryTakeToken()) {
            this->refuse(code);
            return;
        }
        this->machine.currentState = RequestState::Admitted;
        this->machine.retryAt = this->now + delay;
    }

    //! Ends the request in any state.
    void abortRequest(RefusalCode code)
    {
        if (this->machine.attemptActive()) {
            this->cancelAttempt();
            if (this->machine.currentState != RequestState::Connecting)
                this->machine.mayHaveRunCode = code;
        }
        this->actions.emplace_back(action::ReleaseSlot {});
        if (this->machine.currentState == RequestState::Streaming) {
            this->actions.emplace_back(action::AbortResponse {});
            this->machine.refusalCode = code;
            this->finish(Outcome::Unknown);
            return;
        }
        this->refuse(code);
    }

    void refuse(RefusalCode code)
    {
        auto outcome = this->machine.mayHaveRunCode ? Outcome::Unknown : Outcome::NotRun;
        // 429 and 503 promise that the request did not run. If an attempt may have run, its code is reported instead.
        bool promisesNotRun = traitsOf(code).status == 429 || traitsOf(code).status == 503;
        if (this->machine.mayHaveRunCode && promisesNotRun)
            code = *this->machine.mayHaveRunCode;
        this->machine.refusalCode = code;
        if (code != RefusalCode::CallerGone)
            this->actions.emplace_back(action::RefuseCaller { outcome, code });
        this->finish(outcome);
    }

    void finish(Outcome outcome)
    {
        assert(!this->machine.finalOutcome);
        this->machine.finalOutcome = outcome;
        this->machine.currentState = RequestState::Finished;
        this->machine.attemptExpiry.reset();
        this->machine.retryAt.reset();
    }

    RequestStateMachine& machine;
    TimePoint now;
    RandomEngine& random;
};

RequestStateMachine::RequestStateMachine(const RequestOptions& given, RetryBudget& shared)
    : requestOptions(given)
    , budget(shared)
{
}

std::vector<RequestAction> RequestStateMachine::start()
{
    assert(this->currentState == RequestState::Received && this->attempt == 0);
    this->budget.requestReceived();
    return { action::AcquireSlot {} };
}

std::vector<RequestAction> RequestStateMachine::handle(const RequestEvent& event, TimePoint now, RandomEngine& random)
{
    if (this->currentState == RequestState::Finished)
        return {};
    EventHandler handler(*this, now, random);
    std::visit(handler, event);
    return std::move(handler.actions);
}

std::optional<TimePoint> RequestStateMachine::nextTimer() const
{
    if (this->currentState == RequestState::Finished)
        return std::nullopt;
    auto earliest = this->requestOptions.deadline;
    if (this->attemptExpiry)
        earliest = std::min(earliest, *this->attemptExpiry);
    if (this->retryAt)
        earliest = std::min(earliest, *this->retryAt);
    return earliest;
}

bool RequestStateMachine::attemptActive() const
{
    return this->currentState == RequestState::Connecting || this->currentState == RequestState::Sending
        || this->currentState == RequestState::AwaitingResponse || this->currentState == RequestState::Streaming;
}

bool RequestStateMachine::mayRetry(TimePoint now) const
{
    return this->bodyReplayable && this->budget.hasToken() && now < this->requestOptions.deadline;
}

}
