#include "dispatch/RequestStateMachine.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace sequoia;
using namespace sequoia::dispatch;

namespace {

constexpr TimePoint start { std::chrono::seconds(100) };
constexpr Duration lifetime = std::chrono::seconds(5);
constexpr Duration attemptTimeout = std::chrono::seconds(1);

template <typename T> std::size_t countOf(const std::vector<RequestAction>& actions)
{
    return std::count_if(
        actions.begin(), actions.end(), [](const RequestAction& action) { return std::holds_alternative<T>(action); });
}

//! One event of every kind, for the given attempt.
std::vector<RequestEvent> allEvents(AttemptNumber attempt)
{
    return { event::SlotGranted {}, event::NoRoute {}, event::AdmissionRefused { RefusalCode::QueueFull },
        event::ConnectionFailed { attempt }, event::FirstByteSent { attempt }, event::RequestSent { attempt },
        event::ResponseHead { attempt }, event::BodyChunk { attempt }, event::ResponseComplete { attempt },
        event::ConnectionLost { attempt }, event::BadResponse { attempt }, event::ServerRejected { attempt },
        event::BodyNotReplayable {}, event::CallerBodyRefused { RefusalCode::BodyIncomplete }, event::CallerGone {},
        event::TimerExpired {} };
}

//! Reference model of a request, tracked independently of the state machine under test.
class Oracle {
public:
    Oracle(bool isRepeatable, double retryBudget)
        : budget(retryBudget)
        , machine({ isRepeatable, start + lifetime, attemptTimeout }, this->budget)
        , repeatable(isRepeatable)
    {
        this->check(this->machine.start());
    }

    //! Whether the environment of the machine can produce the event now.
    bool isPossible(const RequestEvent& event) const
    {
        if (std::holds_alternative<event::SlotGranted>(event) || std::holds_alternative<event::NoRoute>(event)
            || std::holds_alternative<event::AdmissionRefused>(event))
            return this->waitingForSlot;
        // The adapter sends nothing after the attempt has been cancelled, and reports the first byte only once.
        if (std::holds_alternative<event::FirstByteSent>(event))
            return this->attemptOpen && !this->byteSent;
        if (std::holds_alternative<event::ConnectionFailed>(event))
            return this->attemptOpen && !this->byteSent;
        if (std::holds_alternative<event::ServerRejected>(event))
            return this->attemptOpen && this->byteSent && !this->headReceived;
        if (std::holds_alternative<event::ResponseComplete>(event))
            return this->attemptOpen && this->headReceived;
        if (std::holds_alternative<event::ResponseHead>(event))
            return this->attemptOpen && this->byteSent && !this->headReceived;
        // The start of the body is discarded only when an attempt reads beyond the buffered part.
        if (std::holds_alternative<event::BodyNotReplayable>(event))
            return this->attemptOpen && this->byteSent;
        return true;
    }

    void apply(const RequestEvent& event)
    {
        if (!this->isPossible(event))
            return;
        if (std::holds_alternative<event::FirstByteSent>(event))
            this->byteSent = true;
        if (std::holds_alternative<event::ResponseHead>(event))
            this->headReceived = true;
        bool wasOpen = this->attemptOpen;
        bool byteWasSent = this->byteSent;
        // These events end the wait for a slot.
        if (std::holds_alternative<event::NoRoute>(event) || std::holds_alternative<event::AdmissionRefused>(event))
            this->waitingForSlot = false;
        if (std::holds_alternative<event::BodyNotReplayable>(event))
            this->replayable = false;
        if (std::holds_alternative<event::ResponseComplete>(event))
            this->responseComplete = true;
        if (this->endsAttempt(event))
            this->attemptOpen = false;
        auto actions = this->machine.handle(event, this->now, this->random);
        // An attempt that ended after a byte was sent may have run, unless the server reported that it did not.
        bool ended = wasOpen && (!this->attemptOpen || countOf<action::CancelAttempt>(actions) > 0);
        // The attempt may also have run if its connection is lost, or delivers a bad response, before the first byte is
        // reported.
        bool mayHaveSent = byteWasSent || std::holds_alternative<event::ConnectionLost>(event)
            || std::holds_alternative<event::BadResponse>(event);
        if (ended && mayHaveSent && !std::holds_alternative<event::ServerRejected>(event))
            this->mayHaveRun = true;
        this->check(actions);
    }

    void advance(Duration step)
    {
        this->now += step;
        this->apply(event::TimerExpired {});
    }

    AttemptNumber attempt = 0;
    TimePoint now = start;
    RandomEngine random { 7 };
    RetryBudget budget;
    RequestStateMachine machine;
    std::size_t slots = 0;

private:
    bool endsAttempt(const RequestEvent& event) const
    {
        return std::holds_alternative<event::ConnectionFailed>(event)
            || std::holds_alternative<event::ConnectionLost>(event) || std::holds_alternative<event::BadResponse>(event)
            || std::holds_alternative<event::ServerRejected>(event)
            || std::holds_alternative<event::ResponseComplete>(event);
    }

    void check(const std::vector<RequestAction>& actions)
    {
        RC_ASSERT(!this->ended || actions.empty());
        for (const auto& action : actions)
            this->checkAction(action);
        bool endsNow = this->machine.state() == RequestState::Finished;
        RC_ASSERT(endsNow == this->machine.outcome().has_value());
        if (!endsNow || this->ended)
            return;
        this->ended = true;
        this->checkOutcome(*this->machine.outcome());
    }

    void checkAction(const RequestAction& action)
    {
        if (std::holds_alternative<action::AcquireSlot>(action)) {
            RC_ASSERT(!this->waitingForSlot && !this->attemptOpen);
            this->waitingForSlot = true;
        } else if (std::holds_alternative<action::ReleaseSlot>(action))
            this->waitingForSlot = false;
        else if (const auto* send = std::get_if<action::SendAttempt>(&action)) {
            RC_ASSERT(!this->attemptOpen);
            // Before the first attempt no byte of the body can have been discarded.
            RC_ASSERT(this->replayable || this->attempt == 0);
            // A request that is not repeatable must not run twice.
            RC_ASSERT(this->repeatable || !this->mayHaveRun);
            RC_ASSERT(send->attempt > this->attempt);
            RC_ASSERT(this->now < start + lifetime);
            this->attempt = send->attempt;
            this->attemptOpen = true;
            this->byteSent = false;
            this->waitingForSlot = false;
        } else if (std::holds_alternative<action::CancelAttempt>(action))
            this->attemptOpen = false;
        else if (std::holds_alternative<action::StreamHead>(action)) {
            RC_ASSERT(!this->headSentToCaller && this->headReceived);
            this->headSentToCaller = true;
        } else if (std::holds_alternative<action::StreamChunk>(action))
            RC_ASSERT(this->headSentToCaller);
        else if (std::holds_alternative<action::CompleteResponse>(action)) {
            RC_ASSERT(this->headSentToCaller && this->responseComplete);
            ++this->responsesToCaller;
        } else if (std::holds_alternative<action::AbortResponse>(action)) {
            RC_ASSERT(this->headSentToCaller);
            ++this->responsesToCaller;
        } else if (const auto* refuse = std::get_if<action::RefuseCaller>(&action)) {
            // A refusal after the head would be read as part of the server's response.
            RC_ASSERT(!this->headSentToCaller);
            RC_ASSERT(refuse->outcome != Outcome::Answered);
            auto status = traitsOf(refuse->code).status;
            RC_ASSERT(refuse->outcome == Outcome::NotRun || (status != 429 && status != 503));
            ++this->responsesToCaller;
        }
    }

    void checkOutcome(Outcome outcome)
    {
        bool callerGone = this->machine.refusal() == RefusalCode::CallerGone;
        RC_ASSERT(this->responsesToCaller == 1 || (callerGone && this->responsesToCaller == 0));
        RC_ASSERT(!this->attemptOpen);
        RC_ASSERT((outcome == Outcome::Answered) == this->responseComplete);
        if (outcome == Outcome::NotRun)
            RC_ASSERT(!this->mayHaveRun);
        if (outcome == Outcome::Unknown)
            RC_ASSERT(this->mayHaveRun);
        RC_ASSERT(!this->machine.nextTimer());
    }

    bool repeatable;
    bool waitingForSlot = false;
    bool attemptOpen = false;
    bool byteSent = false;
    bool headReceived = false;
    bool headSentToCaller = false;
    bool responseComplete = false;
    bool replayable = true;
    bool mayHaveRun = false;
    bool ended = false;
    int responsesToCaller = 0;
};

//! Brings a new state machine into a state with as few events as possible.
void driveTo(Oracle& oracle, RequestState state)
{
    if (state == RequestState::Received)
        return;
    oracle.apply(event::SlotGranted {});
    if (state == RequestState::Admitted)
        oracle.apply(event::ConnectionFailed { oracle.attempt });
    if (state == RequestState::Connecting || state == RequestState::Admitted)
        return;
    oracle.apply(event::FirstByteSent { oracle.attempt });
    if (state == RequestState::Sending)
        return;
    oracle.apply(event::RequestSent { oracle.attempt });
    if (state == RequestState::AwaitingResponse)
        return;
    oracle.apply(event::ResponseHead { oracle.attempt });
    if (state == RequestState::Finished)
        oracle.apply(event::ResponseComplete { oracle.attempt });
}

}

// Guards against a second execution, a wrong not-run outcome, two outcomes and a truncated response, for any order of
// events that the adapters can produce, including late events of earlier attempts.
TEST_CASE("a request gets exactly one correct outcome under any sequence of events")
{
    CHECK(rc::check([](bool repeatable, bool withBudget) {
        Oracle oracle(repeatable, withBudget ? 1 : 0);
        auto steps = *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 24));
        for (int step : steps) {
            auto events = allEvents(oracle.attempt);
            if (step < static_cast<int>(events.size()))
                oracle.apply(events[step]);
            else if (step == 16 && oracle.attempt > 1)
                oracle.machine.handle(event::ConnectionLost { oracle.attempt - 1 }, oracle.now, oracle.random);
            else if (step == 17)
                oracle.advance(attemptTimeout);
            else if (step < 21)
                oracle.advance(std::chrono::milliseconds(300));
            else
                oracle.apply(step == 21 ? RequestEvent(event::SlotGranted {})
                        : step == 22    ? RequestEvent(event::FirstByteSent { oracle.attempt })
                                        : RequestEvent(event::ResponseHead { oracle.attempt }));
        }
        oracle.advance(lifetime);
        RC_ASSERT(oracle.machine.outcome().has_value());
    }));
}

// Guards against an event that is handled wrongly in one state only.
TEST_CASE("every pair of events in every state leads to one correct outcome")
{
    for (auto state : { RequestState::Received, RequestState::Admitted, RequestState::Connecting, RequestState::Sending,
             RequestState::AwaitingResponse, RequestState::Streaming, RequestState::Finished }) {
        for (bool repeatable : { false, true }) {
            for (std::size_t first = 0; first < allEvents(1).size(); ++first) {
                for (std::size_t second = 0; second < allEvents(1).size(); ++second) {
                    Oracle oracle(repeatable, 1);
                    driveTo(oracle, state);
                    REQUIRE(oracle.machine.state() == state);
                    oracle.apply(allEvents(oracle.attempt)[first]);
                    oracle.advance(std::chrono::milliseconds(500));
                    oracle.apply(event::SlotGranted {});
                    oracle.apply(allEvents(oracle.attempt)[second]);
                    oracle.advance(lifetime);
                    CHECK(oracle.machine.outcome().has_value());
                }
            }
        }
    }
}

TEST_CASE("a timed-out attempt is retried only if the request is repeatable")
{
    for (bool repeatable : { false, true }) {
        Oracle oracle(repeatable, 1);
        driveTo(oracle, RequestState::AwaitingResponse);
        oracle.advance(attemptTimeout);
        CHECK(oracle.machine.state() == (repeatable ? RequestState::Admitted : RequestState::AwaitingResponse));
    }
}

// Guards against retries that multiply the load of an overloaded fleet.
TEST_CASE("the retry budget bounds retries to a fraction of the requests")
{
    constexpr int requests = 1000;
    constexpr double ratio = 0.1;
    RetryBudget budget(ratio);
    int retries = 0;
    for (int i = 0; i < requests; ++i) {
        budget.requestReceived();
        while (budget.tryTakeToken())
            ++retries;
    }
    CHECK(retries >= requests * ratio);
    CHECK(retries <= requests * ratio + 10);
    CHECK_FALSE(RetryBudget(0).tryTakeToken());
}

// Guards against a retry that sends the body without its start. No other test fails if
// RequestStateMachine::mayRetry does not check bodyReplayable.
TEST_CASE("a rejected request is not retried if part of its body is no longer buffered")
{
    for (bool bodyDiscarded : { false, true }) {
        CAPTURE(bodyDiscarded);
        RetryBudget budget(0.5);
        RandomEngine random { 7 };
        RequestStateMachine machine({ true, start + lifetime, attemptTimeout }, budget);
        machine.start();
        machine.handle(event::SlotGranted {}, start, random);
        machine.handle(event::FirstByteSent { 1 }, start, random);
        if (bodyDiscarded)
            machine.handle(event::BodyNotReplayable {}, start, random);
        auto actions = machine.handle(event::ServerRejected { 1 }, start, random);
        CHECK((countOf<action::RefuseCaller>(actions) == 1) == bodyDiscarded);
        CHECK((machine.state() == RequestState::Finished) == bodyDiscarded);
    }
}

TEST_CASE("the first retry waits for the base backoff, and later ones for twice as long each")
{
    RetryBudget budget(0.5);
    RandomEngine random { 7 };
    RequestStateMachine machine({ true, start + lifetime, attemptTimeout }, budget);
    machine.start();
    auto now = start;
    auto longest = std::chrono::milliseconds(10);
    for (AttemptNumber attempt = 1; attempt <= 2; ++attempt) {
        machine.handle(event::SlotGranted {}, now, random);
        machine.handle(event::FirstByteSent { attempt }, now, random);
        machine.handle(event::ServerRejected { attempt }, now, random);
        auto timer = machine.nextTimer();
        REQUIRE(timer);
        CHECK(*timer - now <= longest);
        CHECK(*timer - now >= longest / 2);
        now = *timer;
        machine.handle(event::TimerExpired {}, now, random);
        longest *= 2;
    }
}
