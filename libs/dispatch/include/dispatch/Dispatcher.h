#pragma once

#include "dispatch/AdmissionController.h"
#include "dispatch/RequestStateMachine.h"
#include "routing/RouteStore.h"

#include <deque>
#include <memory>
#include <set>
#include <unordered_map>

namespace sequoia::dispatch {

//! A request received from a caller, with what is needed to route and admit it.
struct NewRequest {
    RequestNumber number = 0;
    std::string service;
    std::string tenant;
    KeyHash hash = 0;
    RequestOptions options;
};

//! The backend server that an attempt is sent to.
struct Target {
    std::string server;
    std::string address;
    wire::Epoch epoch;
};

struct SendToServer {
    AttemptNumber attempt;
    Target target;
    TimePoint deadline;
    //! Time before which the first byte must be sent; set only for servers that do not check orders.
    std::optional<TimePoint> sendBefore;
};

struct RefreshServiceRoutes {
    std::string service;
};

//! The last command for every request.
struct Finished {
    Outcome outcome;
    std::optional<RefusalCode> refusal;
};

//! What the component that owns the connections has to do for a request.
struct Command {
    RequestNumber request;
    std::variant<SendToServer, RefreshServiceRoutes, action::CancelAttempt, action::StreamHead, action::StreamChunk,
        action::CompleteResponse, action::AbortResponse, action::RefuseCaller, Finished>
        what;
};

//! Handles all requests of one worker: routes them, admits them to the slots of their servers, and runs a
//! RequestStateMachine for each. Performs no I/O and reads no clock; used by one thread.
class Dispatcher {
public:
    struct Options {
        double retryBudget = 0;
        std::map<std::string, AdmissionController::Limits, std::less<>> services; //!< Limits per backend server.
    };

    Dispatcher(Options options, RandomEngine random);

    //! Replaces the routes, also for requests that wait for a slot.
    void setRoutes(std::shared_ptr<const routing::RouteSnapshot> routes);

    std::vector<Command> receive(const NewRequest& request, TimePoint now);

    //! Applies an event to a request; has no effect if the request has finished.
    std::vector<Command> handle(RequestNumber number, const RequestEvent& event, TimePoint now);

    //! Handles every deadline, attempt timeout and retry that is due.
    std::vector<Command> runTimers(TimePoint now);
    std::optional<TimePoint> nextTimer() const;

    std::size_t requestsInProgress() const { return this->requests.size(); }
    //! The number of requests that wait for a slot.
    std::size_t requestsQueued() const;

private:
    enum class AdmissionState {
        None,
        Queued,
        SlotHeld,
    };

    struct ActiveRequest {
        explicit ActiveRequest(const NewRequest& request, RetryBudget& budget)
            : info(request)
            , machine(request.options, budget)
        {
        }
        NewRequest info;
        RequestStateMachine machine;
        AdmissionState admissionState = AdmissionState::None;
        Target target;
        TimePoint grantedAt;
        std::optional<TimePoint> timer;
    };

    struct PendingEvent {
        RequestNumber request;
        RequestEvent event;
    };

    void process(std::vector<Command>& commands, TimePoint now);
    void perform(ActiveRequest& request, const std::vector<RequestAction>& actions, std::vector<Command>& commands,
        TimePoint now);
    bool targetIsCurrent(const ActiveRequest& request, TimePoint now) const;
    std::optional<TimePoint> sendBefore(const ActiveRequest& request) const;
    void acquireSlot(ActiveRequest& request, TimePoint now);
    void releaseSlot(ActiveRequest& request, TimePoint now);
    void updateTimerOrFinish(RequestNumber number, std::vector<Command>& commands);

    Options options;
    RandomEngine random;
    RetryBudget budget;
    std::shared_ptr<const routing::RouteSnapshot> routes;
    std::unordered_map<RequestNumber, ActiveRequest> requests;
    std::map<std::string, AdmissionController> admissionControllers; //!< By address of the backend server.
    std::set<std::pair<TimePoint, RequestNumber>> timers;
    std::deque<PendingEvent> pendingEvents;
};

}
