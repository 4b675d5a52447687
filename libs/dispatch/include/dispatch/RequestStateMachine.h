#pragma once

#include "core/Clock.h"
#include "core/Random.h"
#include "dispatch/Outcome.h"
#include "dispatch/RetryBudget.h"

#include <optional>
#include <variant>
#include <vector>

namespace sequoia::dispatch {

enum class RequestState {
    Received, //!< Waits for the first slot of the server that owns the key.
    Admitted, //!< An attempt failed or no route was usable; waits for a retry.
    Connecting, //!< Holds a slot; no byte has been sent.
    Sending,
    AwaitingResponse,
    Streaming, //!< The head of the response has been passed to the caller.
    Finished,
};

//! Number of an attempt within its request, from 1.
using AttemptNumber = std::uint32_t;

//! Retry and time limits of a request.
struct RequestOptions {
    bool repeatable = false;
    TimePoint deadline;
    Duration attemptTimeout {};
};

namespace event {

struct SlotGranted { };
//! No slot could be requested because the key has no usable route.
struct NoRoute { };
struct AdmissionRefused {
    RefusalCode code;
};
//! The connection could not be established; no byte was sent.
struct ConnectionFailed {
    AttemptNumber attempt;
};
struct FirstByteSent {
    AttemptNumber attempt;
};
struct RequestSent {
    AttemptNumber attempt;
};
struct ResponseHead {
    AttemptNumber attempt;
};
struct BodyChunk {
    AttemptNumber attempt;
};
struct ResponseComplete {
    AttemptNumber attempt;
};
struct ConnectionLost {
    AttemptNumber attempt;
};
//! The response is malformed, or belongs to another request.
struct BadResponse {
    AttemptNumber attempt;
};
//! The server reported that it did not start the request.
struct ServerRejected {
    AttemptNumber attempt;
};
//! More of the caller's body has been sent than is buffered for a retry.
struct BodyNotReplayable { };
//! The caller's body ended early or exceeds the limit.
struct CallerBodyRefused {
    RefusalCode code;
};
struct CallerGone { };
struct TimerExpired { };

}

using RequestEvent = std::variant<event::SlotGranted, event::NoRoute, event::AdmissionRefused, event::ConnectionFailed,
    event::FirstByteSent, event::RequestSent, event::ResponseHead, event::BodyChunk, event::ResponseComplete,
    event::ConnectionLost, event::BadResponse, event::ServerRejected, event::BodyNotReplayable,
    event::CallerBodyRefused, event::CallerGone, event::TimerExpired>;

namespace action {

//! Request a slot of the server that owns the key.
struct AcquireSlot { };
//! Release the slot, or leave the queue.
struct ReleaseSlot { };
struct SendAttempt {
    AttemptNumber attempt;
};
//! Abort the attempt and close its connection.
struct CancelAttempt {
    AttemptNumber attempt;
};
//! The routes may be out of date.
struct RefreshRoutes { };
struct StreamHead { };
struct StreamChunk { };
struct CompleteResponse { };
//! Abort a response that has begun in a way that shows the caller that it is incomplete.
struct AbortResponse { };
struct RefuseCaller {
    Outcome outcome;
    RefusalCode code;
};

}

using RequestAction = std::variant<action::AcquireSlot, action::ReleaseSlot, action::SendAttempt, action::CancelAttempt,
    action::RefreshRoutes, action::StreamHead, action::StreamChunk, action::CompleteResponse, action::AbortResponse,
    action::RefuseCaller>;

//! State machine of one request, from its arrival to exactly one outcome. Performs no I/O and reads no clock.
class RequestStateMachine {
public:
    //! `budget` is shared by all requests of a worker and must outlive them.
    RequestStateMachine(const RequestOptions& options, RetryBudget& budget);

    //! Returns the first actions; must be called once, before handle().
    std::vector<RequestAction> start();
    std::vector<RequestAction> handle(const RequestEvent& event, TimePoint now, RandomEngine& random);

    //! The time at which TimerExpired must be passed to handle() next; none once finished.
    std::optional<TimePoint> nextTimer() const;

    RequestState state() const { return this->currentState; }
    //! Set when the state is Finished.
    std::optional<Outcome> outcome() const { return this->finalOutcome; }
    //! Why the request was not answered.
    std::optional<RefusalCode> refusal() const { return this->refusalCode; }
    const RequestOptions& options() const { return this->requestOptions; }

private:
    class EventHandler;

    bool attemptActive() const;
    bool mayRetry(TimePoint now) const;

    RequestOptions requestOptions;
    RetryBudget& budget;
    RequestState currentState = RequestState::Received;
    AttemptNumber attempt = 0;
    bool bodyReplayable = true;
    //! Set when an earlier attempt may have sent a byte and its server did not report that it did not start the
    //! request: the refusal code of the latest such attempt.
    std::optional<RefusalCode> mayHaveRunCode;
    std::optional<TimePoint> attemptExpiry;
    std::optional<TimePoint> retryAt;
    std::optional<Outcome> finalOutcome;
    std::optional<RefusalCode> refusalCode;
};

}
