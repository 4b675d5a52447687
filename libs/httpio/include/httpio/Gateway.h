#pragma once

#include "dispatch/Dispatcher.h"
#include "httpio/BackendClient.h"
#include "httpio/CallerServer.h"
#include "runtime/Task.h"

namespace sequoia::httpio {

//! What a gateway needs from and reports to its process, on the gateway's task.
class GatewayObserver {
public:
    //! One request that has ended.
    struct Report {
        std::string service;
        dispatch::Outcome outcome;
        std::optional<dispatch::RefusalCode> refusal;
        unsigned attempts;
        Duration duration;
    };

    virtual ~GatewayObserver() = default;
    virtual void onRequestFinished(const Report& report) = 0;
    //! The routes of the service may be out of date.
    virtual void onRoutesDoubted(const std::string& service) = 0;
    //! Metrics of the process in the Prometheus text format.
    virtual std::string metricsText() = 0;
};

//! Passes the requests of callers to the backend servers that own their keys, and the responses back. One per
//! worker; created, used and destroyed on its task. The decisions are those of dispatch::Dispatcher.
class Gateway final : public CallerHandler {
public:
    struct ServiceOptions {
        unsigned connections = 1; //!< To each backend server.
        std::size_t queueLimit = 0;
        std::uint64_t maxBody = 0;
    };

    struct Options {
        std::map<std::string, ServiceOptions, std::less<>> services;
        Duration defaultDeadline {};
        Duration attemptTimeout {};
        double retryBudget = 0;
    };

    Gateway(Options options, const Clock& clock, GatewayObserver& observer);
    ~Gateway() override;

    Result<Success> listen(const std::string& address);
    int port() const;

    void setRoutes(const std::shared_ptr<const routing::RouteSnapshot>& routes);

    //! Takes no new requests; calls `drained` once when all others have ended.
    void stop(std::function<void()> drained);

    std::size_t requestsInProgress() const;
    //! The most bytes of one request body that were ever buffered.
    std::size_t peakBodyBytes() const;

    void onRequest(std::shared_ptr<CallerExchange> exchange) override;

private:
    class Flow;
    class AttemptAdapter;
    using FlowPointer = std::shared_ptr<Flow>;

    bool answerLocally(CallerExchange& exchange);
    bool ready() const;
    void begin(const std::shared_ptr<CallerExchange>& exchange, const RequestHeaders& headers, const std::string& id);
    void refuse(CallerExchange& exchange, const std::string& id, dispatch::Outcome outcome, dispatch::RefusalCode code,
        const std::string& detail = "");
    void handle(dispatch::RequestNumber number, const dispatch::RequestEvent& event);
    void execute(const std::vector<dispatch::Command>& commands);
    void sendAttempt(Flow& flow, const dispatch::SendToServer& send);
    void finishFlow(dispatch::RequestNumber number, const dispatch::Finished& finished);
    void armTimer();
    void checkDrained();

    Options options;
    const Clock& clock;
    GatewayObserver& observer;
    RandomEngine random;
    dispatch::Dispatcher dispatcher;
    std::map<std::string, std::unique_ptr<BackendClient>, std::less<>> clients;
    std::unordered_map<dispatch::RequestNumber, FlowPointer> flows;
    std::shared_ptr<const routing::RouteSnapshot> routes;
    std::unique_ptr<CallerServer> server;
    std::unique_ptr<runtime::Timer> timer;
    std::optional<TimePoint> armedFor;
    std::unique_ptr<runtime::Timer> drainTimer;
    std::function<void()> drained;
    unsigned quietChecks = 0;
    bool stopping = false;
    dispatch::RequestNumber lastNumber = 0;
    std::size_t peakBody = 0;
};

}
