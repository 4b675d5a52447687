#include "NodeService.h"

#include "platform_adapter/ProtocolNames.h"

#include <algorithm>

namespace sequoia::node {

namespace {

constexpr Duration cleanupInterval = std::chrono::seconds(1);
// The platform stops sending connections after two failed readiness checks, which are a second apart.
constexpr Duration platformDetectionTime = std::chrono::milliseconds(2600);
// The process exits this long before the platform would kill it.
constexpr Duration exitMargin = std::chrono::milliseconds(400);
// Unfinished requests are answered this long before the platform would kill the process.
constexpr Duration responseMargin = std::chrono::milliseconds(600);
constexpr Duration stopCheckInterval = std::chrono::milliseconds(100);

edge::CallerCeilings ceilingsOf(const settings::Settings& settings)
{
    return edge::CallerCeilings::ofHost(
        settings.real("node", "memory_megabytes"), settings.real("node", "descriptors"));
}

// Counts of this host's tenure as coordinator, by service.
std::string queueMetrics(const std::map<std::string, balance::QueueCounters>& counters)
{
    std::string text;
    auto add = [&](const std::string& name, const char* help, auto valueOf) {
        text += "# HELP " + name + " " + help + "\n# TYPE " + name + " counter\n";
        for (const auto& [service, values] : counters)
            text.append(name)
                .append("{service=\"")
                .append(service)
                .append("\"} ")
                .append(std::to_string(valueOf(values)))
                .append("\n");
    };
    add("sequoia_jobs_refused_on_arrival_total", "Requests refused for overload when they arrived.",
        [](const auto& values) { return values.refusedOnArrival; });
    add("sequoia_jobs_evicted_total", "Requests refused for overload while they waited.",
        [](const auto& values) { return values.refused - values.refusedOnArrival; });
    add("sequoia_jobs_placed_late_total", "Requests placed although their answers are expected after the target.",
        [](const auto& values) { return values.placedLate; });
    return text;
}

}

Result<std::unique_ptr<runtime::Program>> NodeService::create(const runtime::ProgramContext& context)
{
    std::unique_ptr<NodeService> service(new NodeService(context));
    auto started = service->start(context);
    if (!succeeded(started))
        return errorOf(started);
    return std::unique_ptr<runtime::Program>(std::move(service));
}

NodeService::NodeService(const runtime::ProgramContext& context)
    : terminationGracePeriod(context.settings.duration("edge", "grace"))
    , listTimes(fleet::serverListTimes(context.settings.duration("servers", "drain_bound")))
    , events(context.events)
    , reactor(g_main_context_default(), context.clock)
    , store(
          this->reactor, context.settings.text("store", "address"), context.settings.duration("store", "call_timeout"))
{
}

NodeService::~NodeService() = default;

Result<Success> NodeService::start(const runtime::ProgramContext& context)
{
    const auto& settings = context.settings;
    auto coordinationTask
        = CoordinationTask::create(this->reactor, settings, this->events, context.incarnation, this->store, [this] {
              return std::max(this->configurationWatcher->lastStoreContact(), this->serverWatcher->lastStoreContact());
          });
    if (!succeeded(coordinationTask))
        return errorOf(coordinationTask);
    this->coordination = std::move(valueOf(coordinationTask));
    this->edge = std::make_unique<edge::EdgeServer>(
        this->reactor, this->events, platform_adapter::headerNames(), this->coordination->placer());
    this->edge->setCeilings(ceilingsOf(settings));
    this->configurationWatcher = std::make_unique<ConfigurationWatcher>(this->reactor, this->store, this->events,
        [this](const auto& current, const std::string& text) { this->applyConfiguration(current, text); });
    if (settings.duration("evacuation", "bound") > Duration::zero())
        this->configurationWatcher->setEvacuationCallback(
            [this](const fleet::EvacuationState& state, bool fromCoordinator) {
                this->coordination->setEvacuations(state, fromCoordinator);
            });
    this->serverWatcher = std::make_unique<ServerWatcher>(
        this->reactor, this->store, this->events, this->listTimes.readInterval,
        [this](const fleet::ServerMap& listedServers) {
            for (const auto& [id, entry] : this->knownServers) {
                auto found = listedServers.find(id);
                if (found == listedServers.end() || found->second.instance != entry.instance)
                    this->edge->closeIdleServerConnections(id, entry.address);
            }
            this->knownServers = listedServers;
            this->coordination->setServers(listedServers);
        },
        [this](TimePoint started) { this->coordination->onServerListRead(started); });
    auto readyAddress = net::SocketAddress::parse(settings.text("edge", "ready_listen"));
    auto edgeAddress = net::SocketAddress::parse(settings.text("edge", "listen"));
    if (!succeeded(readyAddress))
        return errorOf(readyAddress);
    if (!succeeded(edgeAddress))
        return errorOf(edgeAddress);
    auto readinessEndpoint = endpoint::HttpEndpoint::listen(this->reactor, valueOf(readyAddress),
        [this](const endpoint::Request& request, const std::shared_ptr<endpoint::Responder>& responder) {
            responder->sendResponse(this->readinessPage(request.head.target));
        });
    if (!succeeded(readinessEndpoint))
        return errorOf(readinessEndpoint);
    this->readinessServer = std::move(valueOf(readinessEndpoint));
    auto metricsAddress = net::SocketAddress::parse(settings.text("metrics", "listen"));
    if (!succeeded(metricsAddress))
        return errorOf(metricsAddress);
    auto metricsEndpoint = endpoint::HttpEndpoint::listen(this->reactor, valueOf(metricsAddress),
        [this](const endpoint::Request& request, const std::shared_ptr<endpoint::Responder>& responder) {
            responder->sendResponse(this->metricsPage(request.head.target));
        });
    if (!succeeded(metricsEndpoint))
        return errorOf(metricsEndpoint);
    this->metricsServer = std::move(valueOf(metricsEndpoint));
    auto listening = this->edge->listen(valueOf(edgeAddress));
    if (!succeeded(listening))
        return errorOf(listening);
    ReceivedState::Callbacks callbacks;
    callbacks.onServers = [this](const fleet::ServerMap& listedServers, bool changed) {
        if (changed)
            this->serverWatcher->applyCoordinatorList(listedServers);
        else
            this->serverWatcher->confirmCoordinatorList();
    };
    callbacks.onConfiguration = [this](const std::string& text) { this->configurationWatcher->applyReceived(text); };
    callbacks.onEvacuations
        = [this](const fleet::EvacuationState& state) { this->configurationWatcher->applyReceivedEvacuations(state); };
    this->coordination->setStateCallbacks(std::move(callbacks), [this](std::uint64_t version) {
        this->configurationWatcher->onVersionAnnounced(version);
        this->edge->setConfigurationOutdated(this->configurationWatcher->lacksAnnouncedVersion());
    });
    this->configurationWatcher->start();
    this->coordination->setFirstRowCallback([this] { this->updateDataSources(); });
    this->coordination->start();
    this->runPeriodicCleanup();
    this->runDataSourceUpdates();
    return Success {};
}

// Calls to the store are expensive, so the coordinator reads the list of servers and sends it to the other hosts. A
// host without a current list from the coordinator polls the store itself, in a large fleet after a delay.
void NodeService::applyConfiguration(
    const std::shared_ptr<const fleet::Configuration>& current, const std::string& text)
{
    this->edge->setConfiguration(current);
    this->edge->setConfigurationOutdated(this->configurationWatcher->lacksAnnouncedVersion());
    this->coordination->setConfiguration(current, text);
}

void NodeService::updateDataSources()
{
    bool directoryCurrent = this->coordination->hasCurrentDirectory();
    bool coordinatorAlive = this->coordination->isCoordinatorAlive();
    this->serverWatcher->setPolling(this->coordination->mustReadServers(
        !this->serverWatcher->servers().empty(), this->serverWatcher->lastStoreContact()));
    using Source = ConfigurationWatcher::Source;
    this->configurationWatcher->setSource(directoryCurrent ? Source::Coordinator
            : coordinatorAlive                             ? Source::StoreWithCoordinator
                                                           : Source::Store);
}

void NodeService::runDataSourceUpdates()
{
    this->updateDataSources();
    this->reactor.scheduleAfter(this->listTimes.checkInterval, [this] { this->runDataSourceUpdates(); });
}

bool NodeService::isReady() const
{
    return !this->stopping && this->configurationWatcher->current() && !this->serverWatcher->servers().empty()
        && this->coordination->isReady();
}

endpoint::Response NodeService::readinessPage(const std::string& path) const
{
    if (path != platform_adapter::readinessPath)
        return { 404, "no such page\n" };
    return this->isReady() ? endpoint::Response { 200, "ready\n" } : endpoint::Response { 503, "not ready\n" };
}

endpoint::Response NodeService::metricsPage(const std::string& path) const
{
    if (path != "/metrics")
        return { 404, "no such page; the metrics are at /metrics\n" };
    auto now = this->reactor.now();
    std::string text = this->edge->metrics().toText() + this->edge->limits().toText();
    auto add = [&text](const char* name, const char* type, const char* help, double value) {
        text += std::string("# HELP ") + name + " " + help + "\n# TYPE " + name + " " + type + "\n" + name + " "
            + std::to_string(value) + "\n";
    };
    auto seconds = [now](TimePoint since) { return std::chrono::duration<double>(now - since).count(); };
    auto count = [](auto value) { return static_cast<double>(value); };
    const auto& counters = this->edge->counters();
    const auto& current = this->configurationWatcher->current();
    const auto* coordinator = this->coordination->coordinatorOrNull();
    add("sequoia_ready", "gauge", "1 when this host takes connections.", this->isReady() ? 1 : 0);
    add("sequoia_requests_total", "counter", "Requests read.", count(counters.requests));
    add("sequoia_attempts_total", "counter", "Requests sent to backend servers.", count(counters.attempts));
    add("sequoia_backend_connections_opened_total", "counter", "Connections opened to backend servers.",
        count(this->edge->openedBackendConnections()));
    add("sequoia_caller_connections", "gauge", "Open connections of callers.", count(this->edge->connectionCount()));
    add("sequoia_caller_memory_bytes", "gauge", "Memory that is held for callers.",
        count(this->edge->memoryAccount().total()));
    add("sequoia_caller_memory_ceiling_bytes", "gauge", "Ceiling of this memory; 0 when there is none.",
        count(this->edge->memoryAccount().ceiling()));
    add("sequoia_store_calls_total", "counter", "Calls to the platform's store.", count(this->store.callCount()));
    add("sequoia_configuration_version", "gauge", "Version of the configuration in force.",
        current ? count(current->version) : 0);
    add("sequoia_configuration_age_seconds", "gauge", "Time since the store last answered about the configuration.",
        seconds(this->configurationWatcher->lastStoreContact()));
    add("sequoia_servers_age_seconds", "gauge", "Time since the store last answered about backend servers.",
        seconds(this->serverWatcher->lastStoreContact()));
    add("sequoia_servers", "gauge", "Backend servers known.", count(this->serverWatcher->servers().size()));
    add("sequoia_evacuated_data_centres", "gauge", "Data centres whose backend servers get no requests.",
        count(this->configurationWatcher->evacuatedDataCentres()));
    add("sequoia_waiting_jobs", "gauge", "Requests of this host that wait for a backend server.",
        count(this->coordination->waitingJobs()));
    add("sequoia_uses_coordinator", "gauge", "1 when a coordinator places the requests of this host.",
        this->coordination->usesCoordinator() ? 1 : 0);
    add("sequoia_datagrams_refused_total", "counter", "Datagrams to other hosts that the kernel did not accept.",
        count(this->coordination->refusedDatagrams()));
    add("sequoia_datagrams_misdirected_total", "counter",
        "Datagrams of the coordinator for an earlier process at this address, or under an earlier number of this one.",
        count(this->coordination->misdirectedDatagrams()));
    add("sequoia_placements_refused_total", "counter",
        "Placements on servers of another service than the request's, which were not used.",
        count(this->coordination->misplacedJobs()));
    add("sequoia_load_reports_invalid_total", "counter", "Load that servers stated and that was ignored or bounded.",
        count(counters.invalidLoadReports));
    add("sequoia_coordinator_term", "gauge", "Term of this host's tenure as coordinator; 0 when it has none.",
        coordinator ? count(coordinator->term()) : 0);
    add("sequoia_coordinator_hosts", "gauge", "Hosts that report to this coordinator.",
        coordinator ? count(coordinator->hostCount()) : 0);
    add("sequoia_coordinator_waiting_jobs", "gauge", "Requests of all hosts that wait here.",
        coordinator ? count(coordinator->waitingJobs()) : 0);
    add("sequoia_coordinator_cold_servers", "gauge", "Cold servers, whose requests this coordinator limits.",
        coordinator ? count(coordinator->coldServers()) : 0);
    add("sequoia_coordinator_cold_held_back_total", "counter",
        "Requests that have waited since their server was cold, in this tenure.",
        coordinator ? count(coordinator->jobsHeldByColdLimit()) : 0);
    add("sequoia_key_moves_for_load_total", "counter",
        "Moves of keys that this host, as coordinator, decided for load.",
        count(this->coordination->keyMovesForLoad()));
    if (coordinator)
        text += queueMetrics(coordinator->queueCounters());
    return { 200, text + this->coordination->traffic().toText() + this->store.trafficText() };
}

void NodeService::runPeriodicCleanup()
{
    this->edge->closeExpiredBackendConnections();
    this->coordination->closeExpiredConnections();
    this->store.closeExpiredConnections();
    this->reactor.scheduleAfter(cleanupInterval, [this] { this->runPeriodicCleanup(); });
}

std::vector<std::string> NodeService::reload(const settings::Settings& settings)
{
    this->terminationGracePeriod = settings.duration("edge", "grace");
    this->store.setAddress(settings.text("store", "address"));
    this->coordination->reload(settings);
    this->edge->setCeilings(ceilingsOf(settings));
    return { "edge.grace", "store.address", "node.processor_share", "node.link_megabits", "grants.longest_hold",
        "repeats.ratio", "repeats.slack", "repeats.window", "cold_servers.rate_factor", "cold_servers.slack",
        "node.memory_megabytes", "node.descriptors" };
}

void NodeService::stop(std::function<void()> finished)
{
    this->stopping = true;
    this->stopStarted = this->reactor.now();
    this->stopFinished = std::move(finished);
    this->edge->startDraining();
    this->coordination->startShutdown();
    this->checkStop();
}

void NodeService::checkStop()
{
    auto elapsed = this->reactor.now() - this->stopStarted;
    // If many hosts of a data centre fail their readiness checks, the platform sends connections to all of them. These
    // are refused from now on, so that no request is accepted that could not be finished.
    bool drained = false;
    if (elapsed >= platformDetectionTime) {
        this->edge->stopListening();
        drained = this->edge->closeIdleCallerConnections() == 0;
    }
    // Requests that are still queued could not be finished. They are refused now, while callers can try elsewhere.
    if (elapsed >= this->terminationGracePeriod / 2)
        this->edge->refuseUnplacedRequests();
    // The caller gets an answer even if the backend server never responds.
    if (elapsed >= this->terminationGracePeriod - responseMargin)
        this->edge->expireRequests();
    // A coordinator without a successor keeps placing the requests of other hosts.
    drained = drained && !this->coordination->isCoordinator();
    if (drained || elapsed >= this->terminationGracePeriod - exitMargin) {
        this->recordStop(elapsed);
        this->stopFinished();
        return;
    }
    this->reactor.scheduleAfter(stopCheckInterval, [this] { this->checkStop(); });
}

// The metrics are gone with the process, so its traffic is logged.
void NodeService::recordStop(Duration elapsed)
{
    std::vector<wire::EventField> fields;
    auto add = [&fields](const std::string& key, const std::string& value) {
        auto& field = fields.emplace_back();
        field.set_key(key);
        field.set_value(value);
    };
    add("connections_left", std::to_string(this->edge->connectionCount()));
    add("elapsed_ms", std::to_string(toMillis(elapsed)));
    for (const auto& [name, value] : this->coordination->traffic().toFields())
        add(name, value);
    for (const auto& [kind, traffic] : this->store.traffic())
        add("store_" + kind,
            std::to_string(traffic.calls) + "/" + std::to_string(traffic.sentBytes) + "/"
                + std::to_string(traffic.receivedBytes));
    this->events.record(timeline::Severity::Info, "stop_finished", fields);
}

}
