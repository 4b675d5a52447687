#include "FaultSchedule.h"

#include <csignal>
#include <iterator>

namespace sequoia::soak {

namespace {

constexpr std::size_t plannedKinds = 5;
// Mostly kills, so that processes at the same address follow each other within the deadlines of their callers.
constexpr FaultKind restartKinds[] = { FaultKind::HostKilled, FaultKind::HostKilled, FaultKind::HostKilled,
    FaultKind::HostKilled, FaultKind::HostKilled, FaultKind::HostKilled, FaultKind::HostStops, FaultKind::HostPaused,
    FaultKind::AllHostsKilled, FaultKind::ServerSlow };
constexpr std::int64_t longestRestartGapMillis = 700;
// Faults follow each other closely enough to overlap, and planned work seldom enough to end.
constexpr std::int64_t shortestGapMillis = 200;
constexpr std::int64_t longestGapMillis = 1800;
constexpr std::int64_t plannedGapMillis = 1500;
constexpr std::int64_t shortestFaultMillis = 300;
constexpr std::int64_t longestFaultMillis = 6000;
// Some evacuations are withdrawn before they are complete.
constexpr std::int64_t shortestEvacuationMillis = 500;
constexpr std::int64_t longestEvacuationMillis = 15'000;

}

FaultSchedule::FaultSchedule(
    net::Reactor& owner, Fleet& target, Oracle& promises, std::uint64_t seed, FaultMix chosenMix, Log callback)
    : reactor(owner)
    , fleet(target)
    , oracle(promises)
    , random(seed)
    , mix(chosenMix)
    , log(std::move(callback))
{
}

Duration FaultSchedule::drawTime(std::int64_t shortestMillis, std::int64_t longestMillis)
{
    return fromMillis(std::uniform_int_distribution<std::int64_t>(shortestMillis, longestMillis)(this->random));
}

void FaultSchedule::start()
{
    this->running = true;
    this->next();
}

void FaultSchedule::next()
{
    if (!this->running)
        return;
    if (this->mix == FaultMix::Restarts) {
        this->carryOut(restartKinds[this->random() % std::size(restartKinds)]);
        this->reactor.scheduleAfter(
            this->drawTime(shortestGapMillis, longestRestartGapMillis), [this] { this->next(); });
        return;
    }
    bool isPlanned = this->mix == FaultMix::Planned;
    auto kinds = isPlanned ? plannedKinds : faultKindNames.size();
    this->carryOut(faultKindNames[this->random() % kinds].first);
    auto gap = this->drawTime(shortestGapMillis, longestGapMillis);
    this->reactor.scheduleAfter(isPlanned ? gap + fromMillis(plannedGapMillis) : gap, [this] { this->next(); });
}

void FaultSchedule::after(Duration time, std::function<void()> undo)
{
    this->reactor.scheduleAfter(time, std::move(undo));
}

void FaultSchedule::carryOut(FaultKind kind)
{
    ++this->faultCount;
    auto time = this->drawTime(shortestFaultMillis, longestFaultMillis);
    auto& host = this->fleet.hosts()[this->random() % this->fleet.hosts().size()];
    auto& server = this->fleet.servers()[this->random() % this->fleet.servers().size()];
    this->log("event=fault kind=" + std::string(nameOf(faultKindNames, kind)) + " for_ms="
        + std::to_string(toMillis(time)) + " host=" + host.address + " server=" + server.standIn->options().id);
    if (kind > FaultKind::EvacuationStarts)
        this->oracle.disturbed(time);
    if (kind == FaultKind::ConfigurationChanges)
        this->fleet.changeConfiguration();
    else if (kind == FaultKind::EvacuationStarts)
        this->evacuate();
    else if (kind <= FaultKind::HostPaused && kind != FaultKind::ServerDrains)
        this->disturbHost(kind, host, time);
    else if (kind >= FaultKind::StoreUnavailable && kind <= FaultKind::StoreLink)
        this->disturbStore(kind, time);
    else
        this->disturbServer(kind, server, time);
}

void FaultSchedule::evacuate()
{
    auto name = this->fleet.startEvacuation(this->random());
    if (name.empty())
        return;
    auto time = this->drawTime(shortestEvacuationMillis, longestEvacuationMillis);
    this->log("event=evacuation data_centre=\"" + name + "\" for_ms=" + std::to_string(toMillis(time)));
    this->after(time, [this, name] { this->fleet.endEvacuation(name); });
}

void FaultSchedule::resume(Host& host)
{
    if (!host.stopped)
        return;
    host.stopped = false;
    host.process->signal(SIGCONT);
    this->oracle.thawed();
}

void FaultSchedule::disturbHost(FaultKind kind, Host& host, Duration time)
{
    auto kill = [this](Host& victim) {
        victim.killed = true;
        victim.process->signal(SIGKILL);
        this->oracle.thawed();
    };
    switch (kind) {
    case FaultKind::HostStops: {
        // One at a time, so that others take the callers over.
        bool another = false;
        for (const auto& other : this->fleet.hosts())
            another = another || other.terminating || !other.process->isRunning();
        if (another || host.stopped)
            return;
        host.terminating = true;
        host.process->signal(SIGTERM);
        break;
    }
    case FaultKind::HostReloads:
        // All files change, and this host alone is told.
        for (auto& changed : this->fleet.hosts())
            this->fleet.changeSettings(changed);
        host.process->signal(SIGHUP);
        break;
    case FaultKind::HostKilled:
        kill(host);
        break;
    case FaultKind::AllHostsKilled:
        for (auto& victim : this->fleet.hosts())
            kill(victim);
        break;
    case FaultKind::HostPaused:
        if (host.stopped || host.terminating || !host.process->isRunning())
            return;
        host.stopped = true;
        host.process->signal(SIGSTOP);
        this->after(time, [this, &host] { this->resume(host); });
        break;
    default:
        break;
    }
}

void FaultSchedule::disturbStore(FaultKind kind, Duration time)
{
    auto& store = this->fleet.store();
    switch (kind) {
    case FaultKind::StoreUnavailable:
        store.faults().unavailable = true;
        break;
    case FaultKind::StoreSlow:
        store.faults().responseDelay = this->drawTime(50, 400);
        break;
    case FaultKind::StoreLosesAnswers:
        store.faults().lostResponseProbability = 0.35;
        break;
    case FaultKind::StoreIsLate:
        store.faults().delayedWriteProbability = 0.3;
        break;
    case FaultKind::StoreForgets:
        store.dropHistory();
        return;
    case FaultKind::StoreGarbage:
        store.faults().malformedResponses = true;
        break;
    default: {
        constexpr LinkState states[]
            = { LinkState::Delayed, LinkState::Silent, LinkState::AnswersHeld, LinkState::Refusing };
        auto state = states[this->random() % 4];
        for (auto& host : this->fleet.hosts()) {
            if (this->random() % 3 != 0)
                continue;
            host.storeLink->setState(state);
            this->after(time, [&host] { host.storeLink->setState(LinkState::Passing); });
        }
        return;
    }
    }
    this->after(time, [&store] { store.faults() = {}; });
}

void FaultSchedule::disturbServer(FaultKind kind, Server& server, Duration time)
{
    auto& faults = server.standIn->faults();
    switch (kind) {
    case FaultKind::ServerDrains:
        this->fleet.drainServer(server);
        return;
    case FaultKind::ServerCrashes:
        if (!server.standIn->isUp() || server.state == fleet::ServerState::Draining)
            return;
        server.standIn->crash();
        this->after(time, [this, &server] { this->fleet.startServer(server); });
        return;
    case FaultKind::ServerCutFromStore:
        server.reachesStore = false;
        this->after(time, [&server] { server.reachesStore = true; });
        return;
    case FaultKind::ServerSlow:
        faults.serviceTimeFactor = 6;
        break;
    case FaultKind::ServerLosesAnswers:
        faults.lostResponseProbability = 0.3;
        break;
    case FaultKind::ServerSpoilsAnswers:
        faults.truncatedResponseProbability = 0.15;
        faults.duplicateResponseProbability = 0.15;
        break;
    case FaultKind::ServerOrdersLate:
        faults.delayedOrderProbability = 0.4;
        break;
    default: {
        constexpr LinkState states[]
            = { LinkState::Delayed, LinkState::Silent, LinkState::AnswersHeld, LinkState::Refusing };
        server.link->setState(states[this->random() % 4]);
        this->after(time, [this, &server] {
            server.link->setState(LinkState::Passing);
            this->oracle.thawed();
        });
        return;
    }
    }
    this->after(time, [&faults] { faults = {}; });
}

void FaultSchedule::stop()
{
    this->running = false;
    this->fleet.store().faults() = {};
    this->fleet.endEvacuation();
    for (auto& host : this->fleet.hosts()) {
        host.storeLink->setState(LinkState::Passing);
        this->resume(host);
    }
    for (auto& server : this->fleet.servers()) {
        server.link->setState(LinkState::Passing);
        server.reachesStore = true;
        server.standIn->faults() = {};
        if (!server.standIn->isUp())
            this->fleet.startServer(server);
    }
    this->oracle.thawed();
}

}
