#include "RouterService.h"

#include <algorithm>

namespace sequoia::router {

namespace {

constexpr const char* programName = "sequoia-router";

unsigned shareOf(std::int64_t connections, std::int64_t workers)
{
    return static_cast<unsigned>(std::max<std::int64_t>(1, connections / workers));
}

httpio::Gateway::Options gatewayOptions(const settings::Settings& settings)
{
    auto workers = settings.number("router", "workers");
    auto queue = settings.number("router", "queue_limit");
    httpio::Gateway::Options options;
    options.defaultDeadline = settings.duration("router", "default_deadline");
    options.attemptTimeout = settings.duration("router", "attempt_timeout");
    options.retryBudget = settings.real("router", "retry_budget");
    for (const auto& name : settings.services()) {
        auto section = "service " + name;
        auto& service = options.services[name];
        service.connections = shareOf(settings.number(section, "connections_per_router"), workers);
        service.queueLimit = static_cast<std::size_t>((queue + workers - 1) / workers);
        service.maxBody = static_cast<std::uint64_t>(settings.number(section, "max_body"));
    }
    return options;
}

}

//! A task with a gateway.
class RouterService::Worker final : public httpio::GatewayObserver {
public:
    Worker(RouterService& owner, std::size_t index)
        : service(owner)
        , task("worker-" + std::to_string(index))
    {
        this->task.run([this] {
            this->gateway = std::make_unique<httpio::Gateway>(
                gatewayOptions(this->service.context.settings), this->service.context.clock, *this);
        });
    }

    ~Worker() override
    {
        this->task.run([this] { this->gateway.reset(); });
    }

    Result<Success> listen(const std::string& address)
    {
        Result<Success> result = Success {};
        this->task.run([&] { result = this->gateway->listen(address); });
        return result;
    }

    void setRoutes(std::shared_ptr<const routing::RouteSnapshot> routes)
    {
        this->task.post([this, routes = std::move(routes)] { this->gateway->setRoutes(routes); });
    }

    void stop()
    {
        this->task.post([this] {
            this->gateway->stop([this] { this->service.control.post([this] { this->service.onWorkerDrained(); }); });
        });
    }

    std::size_t requestsInProgress()
    {
        std::size_t count = 0;
        this->task.run([&] { count = this->gateway->requestsInProgress(); });
        return count;
    }

    void onRequestFinished(const Report& report) override { this->service.metrics.record(report); }

    void onRoutesDoubted(const std::string& name) override
    {
        this->service.control.post([this, name] {
            if (this->service.fetcher)
                this->service.fetcher->refresh(name);
        });
    }

    std::string metricsText() override { return this->service.metrics.toText(); }

private:
    RouterService& service;
    runtime::Task task;
    std::unique_ptr<httpio::Gateway> gateway;
};

RouterService::RouterService(const runtime::ProgramContext& given)
    : context(given)
    , control("control")
{
}

RouterService::~RouterService()
{
    this->diagnostics.reset();
    this->control.run([this] {
        this->stopTimer.reset();
        this->fetcher.reset();
    });
    this->workers.clear();
}

Result<std::unique_ptr<runtime::Program>> RouterService::create(const runtime::ProgramContext& context)
{
    if (context.settings.services().empty())
        return Error { ErrorKind::InvalidSettings, "no service is configured", "add a [service NAME] section" };
    if (context.settings.list("router", "controllers").empty())
        return Error { ErrorKind::InvalidSettings, "router.controllers is empty", "name at least one controller" };
    std::unique_ptr<RouterService> service(new RouterService(context));
    auto diagnostics = service->startDiagnostics();
    if (!succeeded(diagnostics))
        return errorOf(diagnostics);
    auto workers = service->startWorkers();
    if (!succeeded(workers))
        return errorOf(workers);
    service->startFetcher();
    return std::unique_ptr<runtime::Program>(std::move(service));
}

Result<Success> RouterService::startWorkers()
{
    auto count = this->context.settings.number("router", "workers");
    for (std::int64_t i = 0; i < count; ++i) {
        auto& worker = this->workers.emplace_back(std::make_unique<Worker>(*this, i));
        auto listening = worker->listen(this->context.settings.text("router", "listen"));
        if (!succeeded(listening))
            return listening;
    }
    return Success {};
}

Result<Success> RouterService::startDiagnostics()
{
    rpc::Handlers handlers;
    handlers.status = [this](const wire::StatusRequest&, const auto& reply) {
        this->control.post([this, reply] { reply(this->status()); });
    };
    handlers.fetchEvents = [this](const wire::FetchEventsRequest& request, const auto& reply) {
        wire::FetchEventsReply message;
        auto [events, dropped] = this->context.events.eventsAfter(request.after_number());
        for (auto& event : events)
            *message.add_events() = std::move(event);
        message.set_dropped(dropped);
        *message.mutable_time() = this->context.events.hybridClock().tick();
        reply(message);
    };
    auto server = rpc::Server::start(this->context.settings.text("router", "control_listen"), std::move(handlers));
    if (!succeeded(server))
        return errorOf(server);
    this->diagnostics = std::move(valueOf(server));
    return Success {};
}

void RouterService::startFetcher()
{
    this->control.run([this] {
        RouteFetcher::Options options { this->context.settings.services(),
            this->context.settings.list("router", "controllers"),
            this->context.settings.duration("router", "route_validity") };
        this->fetcher = std::make_unique<RouteFetcher>(std::move(options), this->context.clock, this->context.events,
            this->control, [this](const std::shared_ptr<const routing::RouteSnapshot>& routes) {
                for (auto& worker : this->workers)
                    worker->setRoutes(routes);
            });
    });
}

void RouterService::stop(std::function<void()> whenFinished)
{
    this->stopping = true;
    this->control.post([this, whenFinished = std::move(whenFinished)] {
        this->finished = whenFinished;
        this->workersToDrain = this->workers.size();
        for (auto& worker : this->workers)
            worker->stop();
        this->stopTimer = std::make_unique<runtime::Timer>(this->context.settings.duration("router", "shutdown_limit"),
            runtime::Timer::Repeat::Always, [this] { this->reportWaiting(); });
    });
}

void RouterService::onWorkerDrained()
{
    if (--this->workersToDrain == 0)
        this->finished();
}

void RouterService::reportWaiting()
{
    std::size_t waiting = 0;
    for (auto& worker : this->workers)
        waiting += worker->requestsInProgress();
    this->context.events.record(timeline::Severity::Warn, "stop_waits",
        { { "requests", std::to_string(waiting) },
            { "remedy", "wait, or kill the process and accept unknown outcomes" } });
}

wire::StatusReply RouterService::status() const
{
    wire::StatusReply reply;
    reply.mutable_process()->set_incarnation(this->context.incarnation);
    reply.mutable_process()->set_address(this->context.settings.text("router", "control_listen"));
    reply.mutable_process()->set_host(this->context.settings.text("host", "id"));
    reply.mutable_process()->set_data_centre(this->context.settings.text("host", "data_centre"));
    reply.set_program(programName);
    bool routesKnown = true;
    for (const auto& service : this->context.settings.services()) {
        auto* partition = reply.add_partitions();
        partition->set_partition(service);
        if (!this->fetcher)
            continue;
        auto snapshot = this->fetcher->routes().snapshot();
        auto found = snapshot->find(service);
        routesKnown = routesKnown && found != snapshot->end();
        if (found == snapshot->end())
            continue;
        const auto& table = found->second.table->message();
        partition->set_term(table.term());
        *partition->mutable_holder() = table.holder();
        partition->set_route_version(table.version());
        partition->set_slices(table.routes_size());
        partition->set_unavailable_slices(std::count_if(table.routes().begin(), table.routes().end(),
            [](const wire::Route& route) { return route.state() != wire::ROUTE_STATE_ACTIVE; }));
    }
    reply.set_state(this->stopping ? "stopping" : routesKnown ? "serving" : "waiting for routes");
    for (auto& counter : this->metrics.counters())
        *reply.add_counters() = std::move(counter);
    *reply.mutable_time() = this->context.events.hybridClock().tick();
    return reply;
}

}
