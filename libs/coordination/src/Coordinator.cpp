#include "coordination/Coordinator.h"

#include "coordination/JobMessages.h"
#include "coordination/StateEncoding.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace sequoia::coordination {

namespace {

// Interval between updates of the key loads and server capacities.
constexpr Duration keyLoadInterval = std::chrono::milliseconds(250);
// A host counts as stable once it has reported for this time.
constexpr Duration minStableTime = std::chrono::seconds(2);
constexpr double defaultLinkMegabits = 20;
constexpr Duration distanceUpdateInterval = std::chrono::seconds(1);
// Number of standbys, which take over first when the coordinator is lost; several, since some may be lost with it.
constexpr std::size_t standbyCount = 3;
// Hosts report to the coordinator that they know, so they learn of a new one only from its beacons. The hosts of the
// predecessor get beacons for this time.
constexpr Duration predecessorHostsPeriod = std::chrono::seconds(2);
// A host that reached the store within this time counts as connected to it.
constexpr std::int64_t storeContactTimeoutMs = 1000;

}

namespace {

template <typename Loads> std::map<std::string, unsigned> inFlightByServer(const Loads& loads)
{
    std::map<std::string, unsigned> result;
    for (const auto& load : loads)
        result[load.server()] += load.in_flight();
    return result;
}

}

Coordinator::Coordinator(const Clock& clockSource, std::uint64_t term, balance::SchedulerOptions schedulerOptions,
    keyspace::KeyLeaseOptions leaseOptions)
    : clock(clockSource)
    , currentTerm(term)
    , keyLeaseOptions(leaseOptions)
    , scheduler(schedulerOptions, *this)
{
    this->setLinkSpeed(defaultLinkMegabits);
}

Coordinator::~Coordinator() = default;

void Coordinator::setKeyLeaseOptions(const keyspace::KeyLeaseOptions& options)
{
    this->keyLeaseOptions = options;
    for (auto& [service, entry] : this->keyedServices)
        entry.leaseManager->setOptions(options);
}

void Coordinator::start(std::vector<keyspace::KeyPlan> stored)
{
    for (auto& plan : stored)
        this->storedPlans[plan.service] = std::move(plan);
    this->started = true;
}

void Coordinator::setConfiguration(std::shared_ptr<const fleet::Configuration> current, const std::string& text)
{
    this->configuration = std::move(current);
    if (this->configuration)
        this->scheduler.setCostAwareServices(this->configuration->servicesWithCompetingPriorities());
    this->publisher.publish(configurationGroup, encodeText(text));
}

void Coordinator::setServers(const fleet::ServerMap& listed)
{
    this->listedServers = listed;
    this->applyServers();
}

void Coordinator::applyServers()
{
    auto now = this->clock.now();
    this->servers = this->listedServers;
    this->leavingServers.apply(this->servers, now);
    auto usableServers = this->servers;
    this->evacuations.apply(usableServers);
    this->scheduler.setServers(usableServers, now);
    this->scheduler.setUnservedServices(this->evacuations.servicesWithoutServers(this->servers));
    this->markColdServers();
    // Hosts apply the evacuations themselves: a server that is listed as draining stays so until it starts anew.
    this->publisher.publish(serverGroup, encodeServers(this->servers));
    for (const auto& [server, count] : this->unmanagedJobs)
        this->scheduler.setOtherHostsInFlight(server, count);
    for (auto& [service, entry] : this->keyedServices) {
        fleet::ServerMap serversOfService;
        for (const auto& [id, server] : usableServers) {
            if (server.service == service)
                serversOfService.emplace(id, server);
        }
        entry.leaseManager->setServers(serversOfService);
    }
}

void Coordinator::setEvacuations(const fleet::EvacuationState& state)
{
    bool changed = this->evacuations.update(state);
    this->publisher.publish(evacuationGroup, encodeEvacuations(this->evacuations.state()));
    if (changed)
        this->applyServers();
}

void Coordinator::setColdLimits(const balance::ColdLimitsByService& limits)
{
    this->limitsColdServers = !limits.empty();
    this->scheduler.setColdLimits(limits, false, this->clock.now());
}

std::size_t Coordinator::coldServers() const
{
    auto now = this->clock.now();
    const auto& loads = this->scheduler.servers();
    return static_cast<std::size_t>(
        std::count_if(loads.begin(), loads.end(), [now](const auto& entry) { return entry.second.isCold(now); }));
}

// Without this coordinator, hosts would place jobs on cold servers independently and exceed their limits.
bool Coordinator::markColdServers()
{
    if (!this->limitsColdServers)
        return false;
    auto now = this->clock.now();
    bool changed = false;
    for (const auto& [id, load] : this->scheduler.servers()) {
        auto entry = this->servers.find(id);
        if (entry == this->servers.end() || entry->second.cold == load.isCold(now))
            continue;
        entry->second.cold = !entry->second.cold;
        changed = true;
    }
    return changed;
}

balance::Owner Coordinator::ownerOf(std::string_view service, fleet::Key key) const
{
    auto found = this->keyedServices.find(service);
    if (found == this->keyedServices.end())
        return { balance::Ownership::Moving, {} };
    return found->second.leaseManager->ownerOf(key, this->clock.now());
}

std::uint64_t Coordinator::ownerVersion() const
{
    std::uint64_t version = 1;
    for (const auto& [service, entry] : this->keyedServices)
        version += entry.leaseManager->version();
    return version;
}

void Coordinator::receive(const wire::Datagram& datagram, const std::string& address)
{
    if (!this->started)
        return;
    auto* sender = this->senderOf(datagram, address);
    if (!sender)
        return;
    auto& host = *sender;
    this->removeReplacedHosts(host, datagram);
    if (datagram.has_report())
        this->applyReport(host, datagram.report());
    if (datagram.has_unmanaged_loads())
        this->setUnmanagedJobs(host, inFlightByServer(datagram.unmanaged_loads().loads()));
    for (const auto& notice : datagram.notices())
        this->applyNotice(host, notice);
    // A job keeps its number in the next term, so what was said of it under an earlier one does not hold.
    if (datagram.term() == 0 || datagram.term() == this->currentTerm)
        this->endJobs(host, datagram);
    for (const auto& message : datagram.submits())
        this->submitJob(host, message);
}

void Coordinator::applyNotice(const Host& host, const wire::ServerNotice& notice)
{
    auto now = this->clock.now();
    fleet::ServerInstance instance { notice.server(), notice.born_ms() };
    if (notice.leaving())
        this->addLeavingServer(instance);
    auto listed = this->servers.find(instance.id);
    if (notice.pause_ms() > 0 && listed != this->servers.end() && listed->second.instance == instance)
        this->scheduler.pauseServer(
            instance.id, host.number, now + std::min(fromMillis(notice.pause_ms()), balance::maxServerPause));
}

void Coordinator::addLeavingServer(const fleet::ServerInstance& instance)
{
    if (this->leavingServers.add(instance, this->clock.now()))
        this->applyServers();
}

void Coordinator::applyReport(Host& host, const wire::Report& report)
{
    this->setUnmanagedJobs(host, inFlightByServer(report.loads()));
    this->forgetEndedSubmissions(host);
    host.processorShare = report.strength();
    host.dataCentre = report.data_centre();
    this->dataCentreByAddress[host.address] = host.dataCentre;
    host.roundTripTime = Duration(report.round_trip_us());
    host.leaving = report.leaving();
    if (report.store_contact_age_ms() < storeContactTimeoutMs) {
        this->peerStoreContact = true;
        host.lastStoreContact
            = this->clock.now() - boundedMillis(std::max<std::int64_t>(0, report.store_contact_age_ms()));
    }
    this->answerStateRequests(host, report);
}

bool Coordinator::takePeerStoreContact()
{
    return std::exchange(this->peerStoreContact, false);
}

void Coordinator::tick()
{
    if (!this->started)
        return;
    this->removeTimedOutHosts();
    this->updateDataCentreDistance();
    if (!this->ownershipFrozen)
        this->updateOwnership();
    this->addDecisions(this->scheduler.tick(this->clock.now()));
}

void Coordinator::updateCapacities()
{
    auto now = this->clock.now();
    for (auto& [service, entry] : this->keyedServices) {
        entry.load.updateAverages(now);
        keyspace::ServerCapacities capacities;
        auto averageServiceTime = this->scheduler.averageServiceTime(service);
        double jobsPerSecondPerSlot = 1e6 / std::max(1.0, static_cast<double>(averageServiceTime.count()));
        for (const auto& [id, load] : this->scheduler.servers()) {
            if (load.entry().service != service || load.entry().state != fleet::ServerState::Ready)
                continue;
            double capacity = load.entry().slots * jobsPerSecondPerSlot / load.steadySlowness(averageServiceTime, now);
            if (load.isCold(now))
                capacity = std::min(capacity, load.coldRate(now));
            capacities[load.entry().instance] = capacity;
        }
        entry.leaseManager->setCapacities(capacities);
    }
}

// Servers of a service that callers of different priority compete for must not be taken by a surge on some keys.
void Coordinator::updateSurgePolicies()
{
    for (auto& [service, entry] : this->keyedServices) {
        bool spread = this->configuration->hasCompetingPriorities(service);
        entry.load.setSurgeDetection(spread);
        entry.leaseManager->setSurgePolicy(
            spread ? keyspace::SurgePolicy::SpreadImmediately : keyspace::SurgePolicy::Gradual);
    }
}

// The hosts in the coordinator's own data centre have the shortest round trips, so the second shortest time of a data
// centre is that of the next one.
void Coordinator::updateDataCentreDistance()
{
    auto now = this->clock.now();
    if (now - this->lastDistanceUpdate < distanceUpdateInterval)
        return;
    this->lastDistanceUpdate = now;
    std::map<std::string, Duration> shortest;
    for (const auto& [incarnation, host] : this->hosts) {
        if (host.roundTripTime <= Duration::zero())
            continue;
        auto [entry, added] = shortest.try_emplace(host.dataCentre, host.roundTripTime);
        entry->second = std::min(entry->second, host.roundTripTime);
    }
    std::vector<Duration> times;
    times.reserve(shortest.size());
    for (const auto& [dataCentre, time] : shortest)
        times.push_back(time);
    std::sort(times.begin(), times.end());
    this->scheduler.setDataCentreDistance(times.size() < 2 ? Duration::zero() : times[1] / 2);
}

void Coordinator::updateOwnership()
{
    if (!this->configuration || this->servers.empty())
        return;
    auto now = this->clock.now();
    bool added = false;
    for (const auto& [name, traits] : this->configuration->services) {
        if (!traits.keyed || this->keyedServices.contains(name))
            continue;
        auto stored = this->storedPlans.find(name);
        auto plan = stored == this->storedPlans.end() ? keyspace::KeyPlan::unowned(name) : stored->second;
        this->keyedServices[name].leaseManager = std::make_unique<keyspace::KeyLeaseManager>(
            std::move(plan), this->currentTerm, this->keyLeaseOptions, now);
        added = true;
    }
    if (added)
        this->applyServers();
    if (added || now - this->lastLoadUpdate >= keyLoadInterval) {
        this->lastLoadUpdate = now;
        this->updateSurgePolicies();
        this->updateCapacities();
    }
    for (auto& [service, entry] : this->keyedServices) {
        auto outputs = entry.leaseManager->tick(entry.load, now);
        if (outputs.planToWrite)
            this->planWrites.push_back(std::move(*outputs.planToWrite));
        std::move(outputs.orders.begin(), outputs.orders.end(), std::back_inserter(this->leaseOrders));
        std::move(outputs.events.begin(), outputs.events.end(), std::back_inserter(this->ownershipEvents));
    }
}

void Coordinator::setPredecessorHosts(const std::vector<std::string>& addresses)
{
    this->predecessorHosts = addresses;
    this->predecessorHostsUntil = this->clock.now() + predecessorHostsPeriod;
}

// Hosts that are known to reach the store come first, since only they can become coordinator; then those with the
// larger processor share. Ties are broken by incarnation, which is random.
std::map<std::string, std::uint32_t> Coordinator::standbyRanks(const std::string& ownIncarnation) const
{
    std::vector<std::tuple<bool, double, std::string>> candidates;
    for (const auto& [incarnation, host] : this->hosts) {
        if (incarnation != ownIncarnation && this->isStable(host))
            candidates.emplace_back(!this->hasStoreContact(host), -host.processorShare, incarnation);
    }
    std::sort(candidates.begin(), candidates.end());
    std::map<std::string, std::uint32_t> ranks;
    for (std::size_t i = 0; i < std::min(standbyCount, candidates.size()); ++i)
        ranks[std::get<std::string>(candidates[i])] = static_cast<std::uint32_t>(i + 1);
    return ranks;
}

bool Coordinator::isStable(const Host& host) const
{
    return !host.leaving && this->clock.now() - host.firstReport >= minStableTime;
}

bool Coordinator::hasStoreContact(const Host& host) const
{
    return this->clock.now() - host.lastStoreContact < fromMillis(storeContactTimeoutMs);
}

double Coordinator::maxProcessorShareWithStore() const
{
    double largest = 0;
    for (const auto& [incarnation, host] : this->hosts) {
        if (this->isStable(host) && this->hasStoreContact(host))
            largest = std::max(largest, host.processorShare);
    }
    return largest;
}

double Coordinator::maxProcessorShare() const
{
    double largest = 0;
    for (const auto& [incarnation, host] : this->hosts) {
        if (this->isStable(host))
            largest = std::max(largest, host.processorShare);
    }
    return largest;
}

std::vector<keyspace::KeyPlan> Coordinator::takePlanWrites()
{
    return std::exchange(this->planWrites, {});
}

std::vector<keyspace::LeaseOrder> Coordinator::takeLeaseOrders()
{
    return std::exchange(this->leaseOrders, {});
}

std::vector<keyspace::OwnershipEvent> Coordinator::takeOwnershipEvents()
{
    return std::exchange(this->ownershipEvents, {});
}

std::vector<HostEvent> Coordinator::takeHostEvents()
{
    return std::exchange(this->hostEvents, {});
}

void Coordinator::onPlanWritten(const std::string& service, std::uint64_t sequence)
{
    auto found = this->keyedServices.find(service);
    if (found != this->keyedServices.end())
        found->second.leaseManager->confirmWrite(sequence, this->clock.now());
}

void Coordinator::onOrderResponse(const keyspace::LeaseOrder& order, const keyspace::LeaseOrderResponse& response)
{
    if (response.serverLeaving)
        this->addLeavingServer(order.server);
    auto found = this->keyedServices.find(order.service);
    if (found != this->keyedServices.end())
        found->second.leaseManager->handleResponse(order.id, response, this->clock.now());
}

bool Coordinator::hasStableOwners() const
{
    return this->started && std::all_of(this->keyedServices.begin(), this->keyedServices.end(), [](const auto& entry) {
        return entry.second.leaseManager->isSteady();
    });
}

bool Coordinator::isSuperseded() const
{
    return std::any_of(this->keyedServices.begin(), this->keyedServices.end(),
        [](const auto& entry) { return entry.second.leaseManager->isSuperseded(); });
}

}
