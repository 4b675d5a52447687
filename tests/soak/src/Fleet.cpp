#include "Fleet.h"

#include "platform_adapter/ProtocolNames.h"
#include "platform_standin/ConfigurationEncoder.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>

namespace sequoia::soak {

namespace {

// The platform's intervals: entries of backend servers, their end, and the question whether a host is ready.
constexpr Duration beatInterval = std::chrono::milliseconds(870);
constexpr Duration entryLife = 3 * beatInterval;
constexpr Duration readyInterval = std::chrono::milliseconds(500);
// A backend server serves for this time after it said that it leaves, and ends then.
constexpr Duration drainTime = std::chrono::milliseconds(2000);
constexpr Duration drainSlack = std::chrono::milliseconds(300);
// Time within which an evacuated data centre gets no more requests.
constexpr Duration evacuationTime = std::chrono::milliseconds(5000);
constexpr Duration lifeAfterDrain = std::chrono::milliseconds(3500);
constexpr Duration restartPause = std::chrono::milliseconds(300);
constexpr Duration graceTime = std::chrono::seconds(6);
// Links that are slow stay below the delivery slack that the coordinator allows for orders.
constexpr Duration linkDelay = std::chrono::milliseconds(120);

constexpr unsigned keyedServers = 5;
constexpr unsigned plainServers = 3;
constexpr unsigned uploadServers = 2;

net::SocketAddress loopback(const std::string& text)
{
    return valueOf(net::SocketAddress::parse(text));
}

}

Fleet::Fleet(net::Reactor& owner, FleetOptions fleetOptions, Oracle& promises, Oracle::Violated callback)
    : reactor(owner)
    , options(std::move(fleetOptions))
    , oracle(promises)
    , violated(std::move(callback))
    , random(this->options.seed)
    , settingsRandom(this->options.seed)
    , rows(owner, this->random())
    , readyCalls(owner, std::chrono::seconds(1))
{
}

Fleet::~Fleet() = default;

Result<Success> Fleet::start()
{
    auto listening = this->rows.listen(loopback("127.0.0.1:0"));
    if (!succeeded(listening))
        return listening;
    using Kind = fleet::RequestKind;
    using std::chrono::milliseconds;
    this->currentRoutes = { { "read", "sequoia.example", "/read/", Kind::Idempotent, milliseconds(2000),
                                milliseconds(600), 2, 2, { { "keyed", 1 } } },
        { "book", "sequoia.example", "/book/", Kind::NonIdempotent, milliseconds(2500), milliseconds(800), 1, 2,
            { { "plain", 1 } } },
        { "upload", "sequoia.example", "/upload/", Kind::Upload, milliseconds(2500), milliseconds(800), 1, 2,
            { { "vault", 1 } } } };
    this->changeConfiguration();
    struct Group {
        const char* service;
        unsigned count;
    };
    for (const auto& group :
        { Group { "keyed", keyedServers }, Group { "plain", plainServers }, Group { "vault", uploadServers } }) {
        for (unsigned i = 0; i < group.count; ++i) {
            platform_standin::ServerOptions traits;
            traits.id = std::string(group.service) + "-" + std::to_string(i);
            traits.service = group.service;
            traits.dataCentre = "dc-" + std::to_string(i % 2);
            traits.keyed = traits.service == "keyed";
            traits.silentWhenFull = i == 0;
            auto added = this->addServer(traits);
            if (!succeeded(added))
                return added;
        }
    }
    for (auto& server : this->allServers)
        this->oracle.addServer(*server.standIn);
    this->beat();
    this->allHosts.reserve(this->options.hosts);
    for (unsigned i = 0; i < this->options.hosts; ++i) {
        auto added = this->addHost(i);
        if (!succeeded(added))
            return added;
    }
    this->askReady();
    return Success {};
}

Result<Success> Fleet::addServer(const platform_standin::ServerOptions& traits)
{
    Server server;
    server.standIn
        = std::make_unique<platform_standin::ServerStandIn>(this->reactor, traits, this->random(), this->oracle);
    server.link = std::make_unique<FaultProxy>(this->reactor, linkDelay);
    auto listening = server.link->listen(loopback("127.0.0.1:0"));
    if (!succeeded(listening))
        return listening;
    this->allServers.push_back(std::move(server));
    this->startServer(this->allServers.back());
    return Success {};
}

void Fleet::startServer(Server& server)
{
    if (server.standIn->isUp())
        return;
    auto listening = server.standIn->listen(loopback("127.0.0.1:0"));
    if (!succeeded(listening)) {
        this->violated("soak", "reason=\"a backend server cannot listen\"");
        return;
    }
    server.link->setTarget(server.standIn->address());
    server.state = fleet::ServerState::Ready;
    server.lastEntry = {};
    this->oracle.startedAnew(server.standIn->options().id);
}

void Fleet::drainServer(Server& server)
{
    // While a data centre is evacuated, the others have too few servers to lose one.
    if (!server.standIn->isUp() || server.state == fleet::ServerState::Draining || !this->evacuated.empty())
        return;
    server.state = fleet::ServerState::Draining;
    server.lastEntry = {};
    this->reactor.scheduleAfter(lifeAfterDrain, [this, &server] {
        if (server.state != fleet::ServerState::Draining)
            return;
        server.standIn->crash();
        server.reachesStore = true;
        this->rows.remove(std::string(platform_adapter::serverTable), server.standIn->options().id);
        server.listed = false;
        this->reactor.scheduleAfter(restartPause, [this, &server] { this->startServer(server); });
    });
}

std::string Fleet::startEvacuation(std::uint64_t random)
{
    for (const auto& server : this->allServers) {
        if (server.state == fleet::ServerState::Draining || !server.standIn->isUp())
            return "";
    }
    if (!this->evacuated.empty())
        return "";
    constexpr const char* names[] = { "dc-0", "dc-1", "no such place" };
    this->evacuated = names[random % std::size(names)];
    this->rows.put(std::string(platform_adapter::operatorTable), "evacuate/" + this->evacuated, "{}");
    this->oracle.evacuated(this->evacuated, evacuationTime);
    return this->evacuated;
}

void Fleet::endEvacuation(const std::string& name)
{
    if (this->evacuated != name || name.empty())
        return;
    this->oracle.evacuationEnded(name);
    this->rows.remove(std::string(platform_adapter::operatorTable), "evacuate/" + name);
    this->evacuated.clear();
}

// Entries are renewed by their servers and end when they are not; the operator and the servers write directly.
void Fleet::beat()
{
    auto now = this->reactor.now();
    for (auto& server : this->allServers) {
        const auto& id = server.standIn->options().id;
        bool writes = server.standIn->isUp() && server.reachesStore && !this->rows.faults().unavailable;
        if (writes && now - server.lastEntry >= beatInterval) {
            server.lastEntry = now;
            server.listed = true;
            this->rows.put(std::string(platform_adapter::serverTable), id,
                server.standIn->makeEntry(server.link->address(), server.state));
            if (server.state == fleet::ServerState::Draining)
                this->oracle.leaving(id, drainTime + drainSlack);
        } else if (server.listed && now - server.lastEntry >= entryLife) {
            server.listed = false;
            this->rows.remove(std::string(platform_adapter::serverTable), id);
        }
    }
    this->reactor.scheduleAfter(std::chrono::milliseconds(50), [this] { this->beat(); });
}

void Fleet::changeConfiguration()
{
    // Each version has one more route, and another time limit, which callers' requests do not reach.
    this->configurationVersion += 1 + this->random() % 3;
    auto routes = this->currentRoutes;
    auto extra = routes.front();
    extra.name = "extra";
    extra.prefix = "/extra-" + std::to_string(this->configurationVersion) + "/";
    routes.push_back(extra);
    fleet::ServiceOptions keyed { "keyed", 100, true, std::chrono::seconds(1) };
    fleet::ServiceOptions plain { "plain", 100, false, {} };
    fleet::ServiceOptions vault { "vault", 100, false, {} };
    this->rows.put(std::string(platform_adapter::operatorTable), std::string(platform_adapter::configurationKey),
        platform_standin::encodeConfiguration(this->configurationVersion, routes, { keyed, plain, vault }));
}

Result<Success> Fleet::addHost(unsigned number)
{
    Host host;
    host.storeLink = std::make_unique<FaultProxy>(this->reactor, linkDelay);
    host.storeLink->setTarget(this->rows.address());
    auto listening = host.storeLink->listen(loopback("127.0.0.1:0"));
    if (!succeeded(listening))
        return listening;
    auto ip = "127." + std::to_string(this->options.subnet) + "." + std::to_string(number + 1) + ".1";
    host.address = ip + ":7001";
    host.readyAddress = ip + ":7002";
    host.settingsFile = this->options.directory + "/host-" + std::to_string(number) + ".ini";
    std::stringstream fixed;
    fixed << "[host]\nid=host-" << number << "\ndata_centre=dc-" << number % 2
          << "\n[node]\nprocessor_share=" << (number % 2 == 0 ? 0.5 : 0.2)
          << "\n[evacuation]\nbound=" << toMillis(evacuationTime) << "ms\n[metrics]\nlisten=" << ip
          << ":7003\n[peers]\nlisten=" << ip << ":7004\n[store]\naddress=" << host.storeLink->address()
          << "\n[edge]\nlisten=" << host.address << "\nready_listen=" << host.readyAddress << "\n";
    host.fixedSettings = fixed.str();
    std::ofstream(host.settingsFile) << host.fixedSettings << "grace=" << toMillis(graceTime) << "ms\n";
    this->allHosts.push_back(std::move(host));
    auto& added = this->allHosts.back();
    added.process = std::make_unique<HostProcess>(this->options.node, added.settingsFile,
        this->options.directory + "/host-" + std::to_string(number),
        [this, number](HostProcess&, ProcessEnd end) { this->processEnded(this->allHosts[number], end); });
    return added.process->start();
}

void Fleet::changeSettings(Host& host)
{
    // As a deployment may fill them in: whole numbers, fractions, flags, or nothing before the unit.
    constexpr const char* graceTimes[] = { "6s", "6.5s", "7.25s", "6.0s", "s" };
    constexpr const char* holds[] = { "10000ms", "10000.5ms", "4000ms", "2500.25ms", "1500ms", "ms", "truems" };
    constexpr const char* windows[] = { "10s", "10.5s", "4.5s", "0.5s", "s" };
    constexpr const char* ratios[] = { "0.2", "0.25", "1e-1", "0", "", "false" };
    constexpr const char* slacks[] = { "60", "60.5", "1e3", "0", "" };
    auto draw = [this](const auto& values) { return values[this->settingsRandom() % std::size(values)]; };
    // Replaced as a whole, so that no process reads half of it.
    auto next = host.settingsFile + ".new";
    std::ofstream(next) << host.fixedSettings << "grace=" << draw(graceTimes)
                        << "\n[grants]\nlongest_hold=" << draw(holds) << "\n[repeats]\nwindow=" << draw(windows)
                        << "\nratio=" << draw(ratios) << "\nslack=" << draw(slacks) << "\n";
    std::filesystem::rename(next, host.settingsFile);
}

// The host stops wrong decisions before they reach a server, so that no server can show them.
void Fleet::checkLog(const Host& host)
{
    std::ifstream log(host.process->logFile());
    for (std::string line; std::getline(log, line);) {
        if (line.find("event=placement_refused") != std::string::npos)
            this->violated("placement", "host=" + host.address + " log=" + host.process->logFile());
    }
}

void Fleet::processEnded(Host& host, ProcessEnd end)
{
    this->checkLog(host);
    // A process that has not come to its signal handlers yet ends by the signal itself.
    bool atStart = end.beforeHandlers && (end.code == SIGTERM ? host.terminating : end.code == SIGHUP);
    bool expected = end.bySignal ? (host.killed && end.code == SIGKILL) || atStart : host.terminating && end.code == 0;
    if (!expected)
        this->violated("process",
            "host=" + host.address + " log=" + host.process->logFile()
                + " by_signal=" + std::to_string(end.bySignal ? 1 : 0) + " code=" + std::to_string(end.code));
    host.ready = false;
    host.killed = false;
    host.stopped = false;
    host.terminating = false;
    if (this->ending)
        return;
    std::uniform_int_distribution<std::int64_t> pause(
        toMillis(this->options.shortestRestartPause), toMillis(this->options.longestRestartPause));
    this->reactor.scheduleAfter(fromMillis(pause(this->random)), [this, &host] {
        if (this->ending || host.process->isRunning())
            return;
        (void)host.process->start();
    });
}

void Fleet::askReady()
{
    for (auto& host : this->allHosts) {
        client::HttpRequest call { "GET", std::string(platform_adapter::readinessPath), "", "", {} };
        this->readyCalls.send(host.readyAddress, call, readyInterval, [&host](Result<client::HttpResponse> result) {
            host.ready = succeeded(result) && valueOf(result).status == 200;
        });
    }
    this->reactor.scheduleAfter(readyInterval, [this] { this->askReady(); });
}

void Fleet::stopAll()
{
    this->ending = true;
    for (auto& host : this->allHosts) {
        host.terminating = true;
        if (host.stopped)
            host.process->signal(SIGCONT);
        host.process->signal(SIGTERM);
    }
}

bool Fleet::allEnded() const
{
    for (const auto& host : this->allHosts) {
        if (host.process->isRunning())
            return false;
    }
    return true;
}

}
