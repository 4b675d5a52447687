#pragma once

#include "DatagramSender.h"
#include "LibraryOptions.h"
#include "ReceivedState.h"
#include "coordination/Coordinator.h"
#include "coordination/HostIdentity.h"
#include "coordination/ListReadPolicy.h"
#include "coordination/PlacementClient.h"
#include "core/Random.h"
#include "platform_adapter/LeaseOrderSender.h"
#include "settings/Settings.h"
#include "store/RowStore.h"
#include "tenure/CoordinatorElection.h"
#include "timeline/EventLog.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace sequoia::node {

//! Does the I/O for the coordinator election, the coordinator and the placement client of this host: sends and
//! receives datagrams, reads and writes rows of the store, and sends lease orders to backend servers.
class CoordinationTask {
public:
    //! Returns when the store last answered this host's watchers.
    using StoreContactCallback = std::function<TimePoint()>;

    static Result<std::unique_ptr<CoordinationTask>> create(net::Reactor& reactor, const settings::Settings& settings,
        timeline::EventLog& events, const std::string& incarnation, store::RowStore& store,
        StoreContactCallback contact);
    ~CoordinationTask();

    void start();
    //! `text` is the configuration as stored.
    void setConfiguration(const std::shared_ptr<const fleet::Configuration>& configuration, const std::string& text);
    void setServers(const fleet::ServerMap& servers);
    //! This host has read the list of servers from the store and uses it; the call began at `started`.
    void onServerListRead(TimePoint started);
    //! Takes the newest state that this host knows.
    void setEvacuations(const fleet::EvacuationState& state, bool fromCoordinator);
    //! Applies changed figures: retry budget, longest lease, limits of cold servers, processor share and link speed.
    void reload(const settings::Settings& settings);
    edge::Placer& placer() { return *this->placement; }
    //! Whether a coordinator has been found, so that jobs of keyed services can be placed.
    bool isReady() const;
    //! Hands the coordinator role over if this host has it, and does not take it again.
    void startShutdown();
    using VersionCallback = std::function<void(std::uint64_t)>;
    //! Sets callbacks for the state received from the coordinator and for the configuration version that it announces.
    void setStateCallbacks(ReceivedState::Callbacks callbacks, VersionCallback versionCallback);
    //! Whether this host gets a current list of backend servers from another coordinator.
    bool hasCurrentDirectory() const;
    //! Whether this host is to read the list of backend servers from the store.
    bool mustReadServers(bool hasList, TimePoint lastRead);
    //! Sets a callback for the first answer, or failure, of the read of the coordinator's row.
    void setFirstRowCallback(std::function<void()> callback) { this->onFirstRow = std::move(callback); }
    //! Whether a beacon of another coordinator arrived recently, even one with a stale list.
    bool isCoordinatorAlive() const;
    void closeExpiredConnections() { this->leaseOrderSender.closeExpiredConnections(); }

    const coordination::FleetTraffic& traffic() const { return this->sender.traffic(); }
    std::uint64_t refusedDatagrams() const { return this->sender.refusedCount(); }
    std::uint64_t misplacedJobs() const { return this->placement->misplacedJobs(); }
    std::uint64_t misdirectedDatagrams() const { return this->identity.misdirectedDatagrams(); }
    std::size_t waitingJobs() const { return this->placement->waitingJobs(); }
    bool usesCoordinator() const { return this->placement->usesCoordinator(); }
    bool isCoordinator() const { return this->coordinator != nullptr; }
    const coordination::Coordinator* coordinatorOrNull() const { return this->coordinator.get(); }
    //! Moves of keys that this host, as coordinator, has decided for load.
    std::uint64_t keyMovesForLoad() const { return this->loadMoves; }

private:
    CoordinationTask(net::Reactor& reactor, const settings::Settings& settings, timeline::EventLog& events,
        const std::string& incarnation, store::RowStore& store, StoreContactCallback contact);

    void onDatagram(std::string_view bytes, const net::SocketAddress& sender);
    void handleDatagram(const wire::Datagram& datagram, const std::string& sender);
    void handleBeacon(const wire::Datagram& datagram, const std::string& sender, bool forThisProcess);
    Duration storeContactAge() const;
    void scheduleFlush();
    void flush();
    void applyColdLimits();
    void logHosts();
    void logHostNumber();
    void logMisplacements();
    void logColdServers();
    void sendToCoordinator(wire::Datagram& datagram);
    void configureCoordinator();
    void sendDatagrams(const std::vector<coordination::OutgoingDatagram>& messages);
    void scheduleTick();
    void tick();
    void sendReport();
    void execute(const std::vector<tenure::ElectionOutput>& outputs);
    void readRow();
    void onRowAnswered();
    void writeRow(const tenure::WriteRow& write);
    void becomeCoordinator(std::uint64_t term);
    void loadPlans(std::uint64_t term);
    void stopCoordinating(const std::string& reason);
    void startHandover(const std::string& reason);
    void sendBeacons();
    void runCoordinator();
    void scheduleRun();
    void sendLeaseOrder(const keyspace::LeaseOrder& order);
    void onPlansWritten(const tenure::PlansWritten& written);

    net::Reactor& reactor;
    timeline::EventLog& events;
    std::string incarnation;
    coordination::HostIdentity identity;
    std::string address;
    double processorShare;
    double linkMegabits;
    std::string dataCentre;
    store::RowStore& store;
    StoreContactCallback lastStoreContact;
    balance::SchedulerOptions schedulerOptions;
    ColdServerBounds coldServerBounds;
    keyspace::KeyLeaseOptions keyLeaseOptions;
    RandomEngine random;
    tenure::CoordinatorElection election;
    coordination::ListReadPolicy listReadPolicy;
    std::function<void()> onFirstRow; //!< reset by the call
    std::unique_ptr<coordination::PlacementClient> placement;
    std::unique_ptr<coordination::Coordinator> coordinator;
    DatagramSender sender;
    platform_adapter::LeaseOrderSender leaseOrderSender;
    std::shared_ptr<const fleet::Configuration> configuration;
    std::string configurationText;
    std::string plannedServices; //!< last written to the log by this tenure
    std::uint64_t loadMoves = 0;
    fleet::ServerMap servers;
    TimePoint serverListReadAt {}; //!< by this host itself
    fleet::Evacuations evacuations;
    VersionCallback onVersionAnnounced;
    ReceivedState receivedState;
    TimePoint lastBeaconReceived {};
    std::uint64_t coordinatorTerm = 0;
    std::uint32_t standbyRank = 0; //!< of this process in the term; 0 if others come first
    std::string coordinatorDataCentre; //!< empty when it is not known
    bool hasReceivedBeacon = false;
    std::vector<std::string> knownHosts; //!< addresses, which a standby gets in beacons
    TimePoint lastRowContact {};
    bool shuttingDown = false;
    bool flushScheduled = false;
    bool runScheduled = false;
    TimePoint coldServersLoggedAt {};
    std::size_t loggedColdServers = 0;
    std::uint64_t loggedHostNumber = 0;
    std::uint64_t loggedHostNumberTerm = 0;
    TimePoint lastReportSent {};
    TimePoint lastBeaconSent {};
};

}
