#include "CoordinationTask.h"

#include "LibraryOptions.h"

#include <algorithm>

namespace sequoia::node {

namespace {

// Tables and keys of this program in the store.
constexpr const char* electionTable = "sequoia-tenure";
constexpr const char* electionKey = "coordinator";
constexpr const char* planTable = "sequoia-plans";
// A placement waits for at most one tick. A tick without work costs a few microseconds.
constexpr Duration busyTickInterval = std::chrono::milliseconds(20);
// After the response to a lease order, which lets a move go on.
constexpr Duration runDelay = std::chrono::milliseconds(5);
constexpr Duration idleTickInterval = std::chrono::milliseconds(50);
// A host places its jobs locally after several missed beacons.
constexpr Duration reportInterval = std::chrono::milliseconds(150);
constexpr Duration beaconInterval = std::chrono::milliseconds(150);
// The coordinator counts as alive for this time after its last beacon.
constexpr Duration coordinatorTimeout = std::chrono::milliseconds(900);
// The coordinator role goes to a host with this many times the processor share. A handover costs callers some tenths of
// a second, so a small difference does not justify it.
constexpr double handoverShareRatio = 2;
// Changes of the number of cold servers are logged this often.
constexpr Duration coldServerLogInterval = std::chrono::seconds(1);
constexpr Duration planReadRetryInterval = std::chrono::milliseconds(150);

}

Result<std::unique_ptr<CoordinationTask>> CoordinationTask::create(net::Reactor& reactor,
    const settings::Settings& settings, timeline::EventLog& events, const std::string& incarnation,
    store::RowStore& store, StoreContactCallback contact)
{
    auto address = net::SocketAddress::parse(settings.text("peers", "listen"));
    if (!succeeded(address))
        return errorOf(address);
    std::unique_ptr<CoordinationTask> task(
        new CoordinationTask(reactor, settings, events, incarnation, store, std::move(contact)));
    auto socket = net::UdpSocket::bind(
        reactor, valueOf(address), [rawTask = task.get()](std::string_view bytes, const net::SocketAddress& sender) {
            rawTask->onDatagram(bytes, sender);
        });
    if (!succeeded(socket))
        return errorOf(socket);
    task->sender.setSocket(std::move(valueOf(socket)));
    return task;
}

CoordinationTask::CoordinationTask(net::Reactor& owner, const settings::Settings& settings, timeline::EventLog& log,
    const std::string& ownIncarnation, store::RowStore& rows, StoreContactCallback contact)
    : reactor(owner)
    , events(log)
    , incarnation(ownIncarnation)
    , identity(ownIncarnation)
    , address(settings.text("peers", "listen"))
    , processorShare(settings.real("node", "processor_share"))
    , linkMegabits(settings.real("node", "link_megabits"))
    , dataCentre(settings.text("host", "data_centre"))
    , store(rows)
    , lastStoreContact(std::move(contact))
    , schedulerOptions(makeSchedulerOptions(settings))
    , coldServerBounds(makeColdServerBounds(settings))
    , keyLeaseOptions(makeKeyLeaseOptions(settings))
    , random(systemSeededEngine())
    , election(ownIncarnation, this->address, makeElectionOptions(settings), this->random)
    , listReadPolicy(this->random, owner.now())
    , sender(owner, log)
    , leaseOrderSender(owner)
    , receivedState(log, fleet::serverListTimes(settings.duration("servers", "drain_bound")))
{
    this->placement = std::make_unique<coordination::PlacementClient>(
        owner.timeSource(), this->schedulerOptions, [this] { this->scheduleFlush(); });
    this->placement->setSpreadSeed(this->random() | 1U);
}

CoordinationTask::~CoordinationTask() = default;

void CoordinationTask::start()
{
    this->tick();
}

void CoordinationTask::setConfiguration(
    const std::shared_ptr<const fleet::Configuration>& current, const std::string& text)
{
    this->configuration = current;
    this->configurationText = text;
    this->receivedState.assignConfiguration(text);
    if (this->coordinator)
        this->configureCoordinator();
    this->applyColdLimits();
}

void CoordinationTask::configureCoordinator()
{
    this->coordinator->setConfiguration(this->configuration, this->configurationText);
    std::string services;
    if (this->configuration) {
        for (const auto& service : this->configuration->servicesWithCompetingPriorities())
            services += (services.empty() ? "" : ",") + service;
    }
    if (services == this->plannedServices)
        return;
    this->plannedServices = services;
    this->events.record(timeline::Severity::Info, "queueing",
        { { "cost_aware", services }, { "reason", "routes of different priority" },
            { "term", std::to_string(this->coordinator->term()) } });
}

void CoordinationTask::applyColdLimits()
{
    if (!this->configuration)
        return;
    auto limits = makeColdLimits(this->coldServerBounds, *this->configuration);
    this->placement->setColdLimits(limits);
    if (this->coordinator)
        this->coordinator->setColdLimits(limits);
}

void CoordinationTask::logColdServers()
{
    auto now = this->reactor.now();
    if (now - this->coldServersLoggedAt < coldServerLogInterval)
        return;
    this->coldServersLoggedAt = now;
    auto count = this->coordinator->coldServers();
    if (count == this->loggedColdServers)
        return;
    this->loggedColdServers = count;
    this->events.record(timeline::Severity::Info, "cold_servers",
        { { "count", std::to_string(count) }, { "held_back", std::to_string(this->coordinator->jobsHeldByColdLimit()) },
            { "reason", "their requests are limited until they are warm" } });
}

void CoordinationTask::logHosts()
{
    for (const auto& event : this->coordinator->takeHostEvents())
        this->events.record(timeline::Severity::Info, "host",
            { { "change", std::string(nameOf(coordination::hostChangeNames, event.change)) },
                { "number", std::to_string(event.number) }, { "incarnation", event.incarnation },
                { "address", event.address }, { "term", std::to_string(this->coordinator->term()) } });
}

void CoordinationTask::logMisplacements()
{
    for (const auto& misplacement : this->placement->takeMisplacements())
        this->events.record(timeline::Severity::Error, "placement_refused",
            { { "job", std::to_string(misplacement.job) }, { "service", misplacement.service },
                { "server", misplacement.server }, { "listed_service", misplacement.listedService },
                { "term", std::to_string(misplacement.term) }, { "reason", "the server belongs to another service" } });
}

void CoordinationTask::setServers(const fleet::ServerMap& listedServers)
{
    this->servers = listedServers;
    this->receivedState.assignServers(listedServers);
    this->placement->setServers(listedServers);
    if (this->coordinator) {
        this->coordinator->setServers(listedServers);
        this->runCoordinator();
    }
}

void CoordinationTask::onServerListRead(TimePoint started)
{
    this->serverListReadAt = started;
    this->receivedState.recordOwnRead(started);
}

void CoordinationTask::setEvacuations(const fleet::EvacuationState& state, bool fromCoordinator)
{
    if (this->evacuations.update(state)) {
        std::string names;
        for (const auto& name : state.dataCentres)
            names += (names.empty() ? "" : ",") + name;
        auto affected = std::count_if(this->servers.begin(), this->servers.end(),
            [&](const auto& entry) { return state.dataCentres.contains(entry.second.dataCentre); });
        this->events.record(timeline::Severity::Info, "evacuations",
            { { "data_centres", names }, { "servers", std::to_string(affected) },
                { "version", std::to_string(state.version) },
                { "source", fromCoordinator ? "coordinator" : "store" } });
    }
    this->placement->setEvacuations(this->evacuations.state());
    // Jobs that wait here because the coordinator did not know of the evacuation go to it.
    if (fromCoordinator)
        this->placement->handWaitingJobsOver();
    if (!this->coordinator)
        return;
    this->coordinator->setEvacuations(this->evacuations.state());
    this->runCoordinator();
}

void CoordinationTask::reload(const settings::Settings& settings)
{
    this->schedulerOptions = makeSchedulerOptions(settings);
    this->keyLeaseOptions = makeKeyLeaseOptions(settings);
    this->coldServerBounds = makeColdServerBounds(settings);
    this->applyColdLimits();
    this->processorShare = settings.real("node", "processor_share");
    this->linkMegabits = settings.real("node", "link_megabits");
    this->election.setProcessorShare(this->processorShare);
    this->placement->setRetryOptions(this->schedulerOptions);
    if (!this->coordinator)
        return;
    this->coordinator->setRetryOptions(this->schedulerOptions);
    this->coordinator->setKeyLeaseOptions(this->keyLeaseOptions);
    this->coordinator->setLinkSpeed(this->linkMegabits);
}

bool CoordinationTask::isReady() const
{
    return this->hasReceivedBeacon || this->coordinator;
}

void CoordinationTask::startShutdown()
{
    this->shuttingDown = true;
    this->execute(this->election.beginShutdown(this->reactor.now()));
}

void CoordinationTask::onDatagram(std::string_view bytes, const net::SocketAddress& sender)
{
    wire::Datagram datagram;
    if (!datagram.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        this->events.record(timeline::Severity::Warn, "datagram_refused",
            { { "sender", sender.toString() }, { "reason", "malformed datagram" },
                { "remedy", "check which program sends to the peers' port" } });
        return;
    }
    this->handleDatagram(datagram, sender.toString());
}

void CoordinationTask::handleDatagram(const wire::Datagram& datagram, const std::string& sender)
{
    bool fromHost = datagram.has_report() || datagram.submits_size() > 0 || datagram.ends_size() > 0
        || datagram.withdrawals_size() > 0 || datagram.notices_size() > 0 || datagram.has_unmanaged_loads()
        || datagram.replaced_hosts_size() > 0;
    if (fromHost && this->coordinator) {
        this->coordinator->receive(datagram, sender);
        this->election.peerReported(this->reactor.now());
        this->scheduleFlush();
        if (this->coordinator && this->coordinator->takePeerStoreContact())
            this->execute(this->election.peerReachedStore(this->reactor.now()));
        return;
    }
    if (fromHost || datagram.term() < this->coordinatorTerm)
        return;
    if (datagram.term() != this->coordinatorTerm) {
        this->coordinatorDataCentre.clear();
        this->standbyRank = 0;
    }
    this->coordinatorTerm = datagram.term();
    auto addressee = this->identity.identifyReceiver(datagram, this->reactor.now());
    this->logHostNumber();
    if (datagram.has_beacon())
        this->handleBeacon(datagram, sender, addressee != coordination::Addressee::OtherProcess);
    if (datagram.has_beacon() || datagram.buckets_size() > 0 || datagram.has_server_changes())
        this->receivedState.apply(datagram, this->coordinator != nullptr, this->reactor.now());
    if (this->hasReceivedBeacon)
        this->placement->onCoordinatorContact(datagram.term());
    this->placement->preferOwnList(!this->coordinator && this->receivedState.prefersOwnList(this->reactor.now()));
    this->placement->receive(datagram, addressee, this->identity.number());
}

// A beacon for another process tells of the coordinator, but not of this process's rank as a standby.
void CoordinationTask::handleBeacon(const wire::Datagram& datagram, const std::string& sender, bool forThisProcess)
{
    const auto& beacon = datagram.beacon();
    if (forThisProcess)
        this->standbyRank = beacon.heir_rank();
    this->execute(this->election.beaconReceived(
        { datagram.term(), sender, beacon.resigned(), this->standbyRank, beacon.ask_store() }, this->reactor.now()));
    if (forThisProcess && beacon.host_addresses_size() > 0)
        this->knownHosts.assign(beacon.host_addresses().begin(), beacon.host_addresses().end());
    if (this->onVersionAnnounced)
        this->onVersionAnnounced(beacon.configuration_version());
    this->listReadPolicy.onBeacon(datagram.term(), beacon.hosts(), this->reactor.now());
    this->hasReceivedBeacon = true;
    this->lastBeaconReceived = this->reactor.now();
    this->placement->setHostCount(beacon.hosts());
    if (!beacon.data_centre().empty())
        this->coordinatorDataCentre = beacon.data_centre();
}

void CoordinationTask::logHostNumber()
{
    bool isLogged
        = this->identity.number() == this->loggedHostNumber && this->coordinatorTerm == this->loggedHostNumberTerm;
    if (this->identity.number() == 0 || isLogged)
        return;
    this->loggedHostNumber = this->identity.number();
    this->loggedHostNumberTerm = this->coordinatorTerm;
    this->events.record(timeline::Severity::Info, "host_number",
        { { "number", std::to_string(this->loggedHostNumber) },
            { "term", std::to_string(this->loggedHostNumberTerm) } });
}

void CoordinationTask::setStateCallbacks(ReceivedState::Callbacks callbacks, VersionCallback versionCallback)
{
    callbacks.onOwners = [this](const std::string& service, const std::vector<std::string>& buckets) {
        auto updated = this->placement->plans().update(service, buckets);
        if (!succeeded(updated))
            this->events.record(timeline::Severity::Warn, "plan_refused",
                { { "service", service }, { "reason", errorOf(updated).message },
                    { "remedy", errorOf(updated).remedy } });
    };
    this->receivedState.setCallbacks(std::move(callbacks));
    this->onVersionAnnounced = std::move(versionCallback);
}

bool CoordinationTask::hasCurrentDirectory() const
{
    return !this->coordinator && this->receivedState.isCurrent(this->reactor.now());
}

bool CoordinationTask::mustReadServers(bool hasList, TimePoint lastRead)
{
    return this->coordinator
        || this->listReadPolicy.mustRead({ this->hasCurrentDirectory(), hasList, lastRead }, this->reactor.now());
}

bool CoordinationTask::isCoordinatorAlive() const
{
    return !this->coordinator && this->reactor.now() - this->lastBeaconReceived < coordinatorTimeout;
}

void CoordinationTask::scheduleFlush()
{
    if (this->flushScheduled)
        return;
    this->flushScheduled = true;
    this->reactor.defer([this] {
        this->flushScheduled = false;
        this->flush();
    });
}

void CoordinationTask::flush()
{
    wire::Datagram datagram;
    bool hasMessages = this->placement->takeMessages(datagram);
    if (this->coordinator) {
        datagram.set_sender(this->incarnation);
        if (hasMessages)
            this->coordinator->receive(datagram, this->address);
        this->sendDatagrams(this->coordinator->takeReplies());
        return;
    }
    if (hasMessages)
        this->sendToCoordinator(datagram);
}

void CoordinationTask::sendToCoordinator(wire::Datagram& datagram)
{
    this->identity.setSender(datagram, this->coordinatorTerm, this->reactor.now());
    this->sender.send(datagram, this->election.coordinatorAddress(),
        coordination::trafficScope(this->dataCentre, this->coordinatorDataCentre));
}

void CoordinationTask::sendDatagrams(const std::vector<coordination::OutgoingDatagram>& messages)
{
    for (const auto& message : messages) {
        // Only the coordinator needs to know the sender, so the datagrams to hosts leave it out.
        auto datagram = message.datagram;
        datagram.set_term(this->coordinator ? this->coordinator->term() : 0);
        if (message.address == this->address) {
            this->handleDatagram(datagram, this->address);
            continue;
        }
        auto receiver = this->coordinator ? this->coordinator->dataCentreOf(message.address) : std::string();
        this->sender.send(datagram, message.address, coordination::trafficScope(this->dataCentre, receiver));
    }
}

void CoordinationTask::scheduleTick()
{
    bool busy = this->coordinator || this->placement->waitingJobs() > 0;
    this->reactor.scheduleAfter(busy ? busyTickInterval : idleTickInterval, [this] { this->tick(); });
}

void CoordinationTask::tick()
{
    auto now = this->reactor.now();
    this->execute(this->election.tick(now));
    if (now - this->lastReportSent >= reportInterval) {
        this->lastReportSent = now;
        this->sendReport();
    }
    this->placement->tick();
    this->logMisplacements();
    this->runCoordinator();
    this->flush();
    this->scheduleTick();
}

Duration CoordinationTask::storeContactAge() const
{
    return this->reactor.now() - std::max(this->lastStoreContact(), this->lastRowContact);
}

void CoordinationTask::sendReport()
{
    wire::Datagram datagram;
    this->placement->takeMessages(datagram);
    auto* message = datagram.mutable_report();
    this->placement->fillReport(*message);
    this->placement->fillNotices(datagram);
    message->set_strength(this->processorShare);
    message->set_data_centre(this->dataCentre);
    this->receivedState.fillRequests(*message);
    message->set_leaving(this->shuttingDown);
    message->set_store_contact_age_ms(toMillis(this->storeContactAge()));
    if (this->coordinator) {
        // The coordinator looks for other hosts that reach the store, so its own contact must not count.
        message->set_store_contact_age_ms(std::numeric_limits<std::int64_t>::max());
        datagram.set_sender(this->incarnation);
        this->coordinator->receive(datagram, this->address);
        this->sendDatagrams(this->coordinator->takeReplies());
        return;
    }
    this->sendToCoordinator(datagram);
}

void CoordinationTask::execute(const std::vector<tenure::ElectionOutput>& outputs)
{
    for (const auto& output : outputs) {
        if (std::holds_alternative<tenure::ReadRow>(output))
            this->readRow();
        else if (const auto* write = std::get_if<tenure::WriteRow>(&output))
            this->writeRow(*write);
        else if (const auto* became = std::get_if<tenure::BecameCoordinator>(&output))
            this->becomeCoordinator(became->term);
        else if (const auto* lost = std::get_if<tenure::LostCoordinatorRole>(&output))
            this->stopCoordinating(lost->reason);
        else if (const auto* handover = std::get_if<tenure::HandoverStarted>(&output))
            this->startHandover(handover->reason);
        else if (const auto* written = std::get_if<tenure::PlansWritten>(&output))
            this->onPlansWritten(*written);
    }
}

void CoordinationTask::readRow()
{
    this->store.read(electionTable, [this](Result<store::RowSet> rowSet) {
        if (!succeeded(rowSet)) {
            this->election.readFailed();
            this->onRowAnswered();
            return;
        }
        store::Row row;
        for (const auto& candidate : valueOf(rowSet).rows) {
            if (candidate.name.key == electionKey)
                row = candidate;
        }
        this->lastRowContact = this->reactor.now();
        this->execute(this->election.rowRead(row.version, row.value, valueOf(rowSet).storeMillis, this->reactor.now()));
        this->onRowAnswered();
    });
}

void CoordinationTask::onRowAnswered()
{
    this->listReadPolicy.setStoredHostCount(this->election.storedHostCount(), this->reactor.now());
    if (auto callback = std::exchange(this->onFirstRow, {}))
        callback();
}

void CoordinationTask::writeRow(const tenure::WriteRow& write)
{
    store::Transaction transaction;
    transaction.expected.push_back({ { electionTable, electionKey }, write.expectedVersion });
    transaction.writes.push_back({ { electionTable, electionKey }, write.value });
    for (const auto& [service, plan] : write.plans)
        transaction.writes.push_back({ { planTable, service }, plan });
    this->store.write(transaction, [this, number = write.number](Result<store::CommitInfo> result) {
        auto now = this->reactor.now();
        if (succeeded(result)) {
            const auto& committed = valueOf(result);
            this->lastRowContact = now;
            this->execute(this->election.writeDone(
                number, tenure::WriteOutcome::Written, committed.version, committed.storeMillis, now));
            return;
        }
        auto outcome = tenure::WriteOutcome::Failed;
        if (errorOf(result).kind == ErrorKind::Conflict)
            outcome = tenure::WriteOutcome::Conflict;
        else if (errorOf(result).kind == ErrorKind::OutcomeUnknown)
            outcome = tenure::WriteOutcome::Unknown;
        this->events.record(timeline::Severity::Info, "tenure_write_failed",
            { { "number", std::to_string(number) }, { "reason", errorOf(result).message } });
        this->execute(this->election.writeDone(number, outcome, 0, std::nullopt, now));
    });
}

void CoordinationTask::becomeCoordinator(std::uint64_t term)
{
    this->events.record(
        timeline::Severity::Info, "coordinator", { { "term", std::to_string(term) }, { "change", "gained" } });
    this->coordinatorTerm = std::max(this->coordinatorTerm, term);
    this->coordinator = std::make_unique<coordination::Coordinator>(
        this->reactor.timeSource(), term, this->schedulerOptions, this->keyLeaseOptions);
    this->plannedServices.clear();
    this->configureCoordinator();
    this->coordinator->setLinkSpeed(this->linkMegabits);
    if (this->evacuations.state().version != 0)
        this->coordinator->setEvacuations(this->evacuations.state());
    this->applyColdLimits();
    this->coordinator->setServers(this->servers);
    this->coordinator->setPredecessorHosts(this->knownHosts);
    this->loadPlans(term);
}

void CoordinationTask::startHandover(const std::string& reason)
{
    this->events.record(timeline::Severity::Info, "coordinator",
        { { "term", std::to_string(this->election.term()) }, { "change", "hands-over" }, { "reason", reason } });
    if (!this->coordinator)
        return;
    this->coordinator->freezeOwnership();
    this->sendBeacons();
}

void CoordinationTask::sendBeacons()
{
    auto now = this->reactor.now();
    this->lastBeaconSent = now;
    this->sendDatagrams(this->coordinator->makeBeacons({ this->incarnation, this->election.isResigning(),
        this->election.suspectsStoreOutage(now)
            || this->coordinator->maxProcessorShare() >= handoverShareRatio * this->processorShare,
        toMillis(now - this->serverListReadAt), this->dataCentre }));
}

void CoordinationTask::loadPlans(std::uint64_t term)
{
    this->store.read(planTable, [this, term](Result<store::RowSet> rowSet) {
        if (!this->coordinator || this->coordinator->term() != term || this->coordinator->isStarted())
            return;
        if (!succeeded(rowSet)) {
            this->reactor.scheduleAfter(planReadRetryInterval, [this, term] { this->loadPlans(term); });
            return;
        }
        std::vector<keyspace::KeyPlan> plans;
        for (const auto& row : valueOf(rowSet).rows) {
            auto plan = keyspace::KeyPlan::parse(row.value);
            if (succeeded(plan)) {
                plans.push_back(std::move(valueOf(plan)));
                continue;
            }
            this->events.record(timeline::Severity::Error, "plan_refused",
                { { "service", row.name.key }, { "reason", errorOf(plan).message },
                    { "remedy", errorOf(plan).remedy } });
        }
        this->coordinator->start(std::move(plans));
        this->sendReport();
        this->runCoordinator();
    });
}

void CoordinationTask::stopCoordinating(const std::string& reason)
{
    this->events.record(timeline::Severity::Warn, "coordinator", { { "change", "lost" }, { "reason", reason } });
    this->loggedColdServers = 0;
    this->coordinator.reset();
    this->placement->onCoordinatorLost();
}

void CoordinationTask::runCoordinator()
{
    if (!this->coordinator)
        return;
    auto now = this->reactor.now();
    this->coordinator->tick();
    this->election.setReportingHosts(this->coordinator->hostCount());
    this->sendDatagrams(this->coordinator->takeReplies());
    if (!this->coordinator)
        return;
    this->logHosts();
    this->logColdServers();
    if (this->coordinator->isSuperseded()) {
        this->execute(this->election.higherFenceSeen(now));
        return;
    }
    // Resigns only for a host with a larger share that reaches the store, since another one could not become
    // coordinator.
    bool largerShareAvailable
        = this->coordinator->maxProcessorShareWithStore() >= handoverShareRatio * this->processorShare;
    if (largerShareAvailable && !this->election.isResigning() && this->coordinator->hasStableOwners()) {
        this->events.record(timeline::Severity::Info, "coordinator",
            { { "change", "resigns" }, { "reason", "a host with a larger processor share is available" },
                { "strength", std::to_string(this->processorShare) },
                { "strongest", std::to_string(this->coordinator->maxProcessorShareWithStore()) } });
        this->execute(this->election.resign("a host with a larger processor share is available", now));
        if (!this->coordinator)
            return;
    }
    if (now - this->lastBeaconSent >= beaconInterval)
        this->sendBeacons();
    if (!this->coordinator)
        return;
    bool plansQueued = false;
    for (const auto& plan : this->coordinator->takePlanWrites()) {
        this->election.queuePlan(plan.service, plan.serialize());
        plansQueued = true;
    }
    if (plansQueued)
        this->execute(this->election.tick(now));
    if (!this->coordinator)
        return;
    for (const auto& event : this->coordinator->takeOwnershipEvents()) {
        this->loadMoves += event.kind == "keys_move" && event.reason == "load" ? 1 : 0;
        this->events.record(timeline::Severity::Info, event.kind,
            { { "first", std::to_string(event.keys.first) }, { "last", std::to_string(event.keys.last) },
                { "from", event.from }, { "to", event.to }, { "fence", std::to_string(event.fence) },
                { "reason", event.reason }, { "term", std::to_string(this->coordinator->term()) } });
    }
    for (const auto& order : this->coordinator->takeLeaseOrders())
        this->sendLeaseOrder(order);
}

void CoordinationTask::sendLeaseOrder(const keyspace::LeaseOrder& order)
{
    // The process may have been suspended since the order was decided, so the coordinator's lease is checked right
    // before sending.
    auto now = this->reactor.now();
    auto term = this->coordinator->term();
    if (!(order.renewal ? this->election.mayRenewGrants(now) : this->election.mayChangeOwners(now))) {
        this->coordinator->onOrderResponse(order, { keyspace::LeaseOrderResult::NotSent, {}, false });
        return;
    }
    this->leaseOrderSender.send(order, [this, order, term](const keyspace::LeaseOrderResponse& response) {
        if (!this->coordinator || this->coordinator->term() != term)
            return;
        if (response.result != keyspace::LeaseOrderResult::Accepted)
            this->events.record(timeline::Severity::Info, "order_failed",
                { { "type", order.type == keyspace::LeaseOrderType::Grant ? "grant" : "release" },
                    { "server", order.server.id }, { "first", std::to_string(order.keys.first) },
                    { "last", std::to_string(order.keys.last) }, { "fence", std::to_string(order.fence) },
                    { "result", std::to_string(static_cast<int>(response.result)) } });
        this->coordinator->onOrderResponse(order, response);
        // Hundreds of renewals are answered every second, and nothing follows from them.
        if (!order.renewal || response.result != keyspace::LeaseOrderResult::Accepted)
            this->scheduleRun();
    });
}

// A run looks at all key ranges and queues, so responses that arrive together share one.
void CoordinationTask::scheduleRun()
{
    if (this->runScheduled)
        return;
    this->runScheduled = true;
    this->reactor.scheduleAfter(runDelay, [this] {
        this->runScheduled = false;
        this->runCoordinator();
    });
}

void CoordinationTask::onPlansWritten(const tenure::PlansWritten& written)
{
    if (!this->coordinator)
        return;
    for (const auto& [service, bytes] : written.plans) {
        auto plan = keyspace::KeyPlan::parse(bytes);
        if (succeeded(plan))
            this->coordinator->onPlanWritten(service, valueOf(plan).sequence);
    }
    this->runCoordinator();
}

}
