#pragma once

#include "balance/Scheduler.h"
#include "balance/ServerNotice.h"
#include "coordination/StatePublisher.h"
#include "core/EnumTable.h"
#include "core/Random.h"
#include "fleet/Configuration.h"
#include "fleet/Evacuations.h"
#include "fleet/LeavingServers.h"
#include "keyspace/KeyLeaseManager.h"

#include <map>
#include <memory>
#include <peer.pb.h>
#include <string>
#include <vector>

namespace sequoia::coordination {

//! A datagram and the address of the host that it is for.
struct OutgoingDatagram {
    std::string address;
    wire::Datagram datagram;
};

enum class HostChange {
    Added,
    Removed, //!< It has not reported for some time.
    Replaced, //!< Another process has received datagrams for it at its address.
};

inline constexpr EnumTable<HostChange, 3> hostChangeNames { {
    { HostChange::Added, "added" },
    { HostChange::Removed, "removed" },
    { HostChange::Replaced, "replaced" },
} };

//! A change of the hosts that the coordinator knows, for the log.
struct HostEvent {
    HostChange change = HostChange::Added;
    std::uint64_t number = 0;
    std::string incarnation;
    std::string address;
};

//! Status of the coordinator that its beacons announce.
struct CoordinatorStatus {
    std::string ownIncarnation; //!< of the coordinator's own host
    bool resigned = false;
    bool requestStoreProbe = false; //!< standbys check whether they reach the store, and report it
    std::int64_t storeContactAgeMs = 0; //!< since the coordinator began to read its list of servers
    std::string dataCentre {}; //!< of the coordinator's own host
};

//! The coordinator during one term: manages the key leases of all keyed services, and places the jobs of all hosts,
//! so that queueing, priority and refusal are decided in one place with exact counts. Does no I/O.
class Coordinator final : private balance::OwnerLookup {
public:
    Coordinator(const Clock& clock, std::uint64_t term, balance::SchedulerOptions schedulerOptions,
        keyspace::KeyLeaseOptions leaseOptions);
    ~Coordinator() override;

    //! Sets the stored plans. Called once; messages are ignored until then.
    void start(std::vector<keyspace::KeyPlan> stored);
    bool isStarted() const { return this->started; }
    //! `text` is the configuration as stored, which hosts that lack it get from here.
    void setConfiguration(std::shared_ptr<const fleet::Configuration> configuration, const std::string& text);
    //! Bandwidth of this host's link, of which the state sent to hosts takes a part.
    void setLinkSpeed(double megabitsPerSecond);
    void setRetryOptions(const balance::SchedulerOptions& options) { this->scheduler.setRetryOptions(options); }
    void setKeyLeaseOptions(const keyspace::KeyLeaseOptions& options);
    void setServers(const fleet::ServerMap& servers);
    //! Takes the keys from the servers of these data centres and sends the state to all hosts.
    void setEvacuations(const fleet::EvacuationState& state);
    //! Limits the requests to cold servers, and marks these in the list that hosts get.
    void setColdLimits(const balance::ColdLimitsByService& limits);
    //! Processes a datagram of a host.
    void receive(const wire::Datagram& datagram, const std::string& address);
    void tick();
    //! Returns the replies since the last call.
    std::vector<OutgoingDatagram> takeReplies();
    std::vector<OutgoingDatagram> makeBeacons(const CoordinatorStatus& status);
    //! Sets the hosts of the preceding coordinator. They get beacons for a short time before they report here.
    void setPredecessorHosts(const std::vector<std::string>& addresses);
    //! Stops all changes of owner and all lease renewals during a handover. Jobs are still placed.
    void freezeOwnership() { this->ownershipFrozen = true; }

    //! Each of these returns what has been added since the last call: plans to be written, orders to be sent, events to
    //! be logged.
    std::vector<keyspace::KeyPlan> takePlanWrites();
    std::vector<keyspace::LeaseOrder> takeLeaseOrders();
    std::vector<keyspace::OwnershipEvent> takeOwnershipEvents();
    std::vector<HostEvent> takeHostEvents();
    void onPlanWritten(const std::string& service, std::uint64_t sequence);
    void onOrderResponse(const keyspace::LeaseOrder& order, const keyspace::LeaseOrderResponse& response);
    bool isSuperseded() const;
    //! Whether no owner of keys is being replaced. A change of coordinator then delays no request for a key.
    bool hasStableOwners() const;

    std::uint64_t term() const { return this->currentTerm; }
    std::size_t hostCount() const { return this->hosts.size(); }
    std::size_t waitingJobs() const { return this->scheduler.waitingJobs(); }
    std::size_t coldServers() const;
    std::uint64_t jobsHeldByColdLimit() const { return this->scheduler.jobsHeldByColdLimit(); }
    //! Data centre of the host with this address; empty when it is not known.
    std::string dataCentreOf(const std::string& address) const;
    std::map<std::string, balance::QueueCounters> queueCounters() const { return this->scheduler.queueCounters(); }
    //! Largest processor share among the stable hosts.
    double maxProcessorShare() const;
    //! Largest processor share among the stable hosts that reached the store recently.
    double maxProcessorShareWithStore() const;
    //! Returns whether a report has shown since the last call that another host reaches the store.
    bool takePeerStoreContact();

private:
    //! A process on a host. Processes that follow each other at an address are different hosts here.
    struct Host {
        std::string address;
        std::uint64_t number = 0;
        std::uint64_t digest = 0; //!< of its incarnation
        bool usesNumber = false; //!< its last datagram named it by its number
        TimePoint lastReport {};
        std::map<std::string, unsigned> unmanagedInFlight; //!< jobs by server that this coordinator did not place
        std::map<std::string, TimePoint> stateSentAt; //!< when the last request for a group was answered
        double processorShare = 0;
        std::string dataCentre;
        Duration roundTripTime {}; //!< to this coordinator; zero if not measured
        TimePoint firstReport {};
        bool leaving = false;
        TimePoint lastStoreContact {}; //!< as the host reported
        TimePoint addressesSentAt {}; //!< when this standby last got the addresses of all hosts
        //! Latest submissions of the jobs that the host has taken back and submitted again.
        std::map<std::uint64_t, std::uint32_t> submissions;
    };
    struct KeyedService {
        std::unique_ptr<keyspace::KeyLeaseManager> leaseManager;
        keyspace::KeyLoad load;
        std::uint64_t publishedVersion = 0;
    };

    balance::Owner ownerOf(std::string_view service, fleet::Key key) const override;
    std::uint64_t ownerVersion() const override;

    //! Returns null if the datagram names its sender by a number that this coordinator has not given.
    Host* senderOf(const wire::Datagram& datagram, const std::string& address);
    Host& findOrAddHost(const std::string& incarnation, const std::string& address);
    void applyReport(Host& host, const wire::Report& report);
    void submitJob(Host& host, const wire::Submit& message);
    //! Returns whether the job was not submitted later; drops what was decided about an earlier submission of it.
    bool acceptSubmission(Host& host, const wire::Submit& message);
    static std::uint32_t submissionOf(const Host& host, std::uint64_t job);
    void forgetEndedSubmissions(Host& host);
    //! Processes the ends and withdrawals of jobs of this term.
    void endJobs(const Host& host, const wire::Datagram& datagram);
    void applyNotice(const Host& host, const wire::ServerNotice& notice);
    void addLeavingServer(const fleet::ServerInstance& instance);
    void applyServers();
    //! Returns whether a flag changed.
    bool markColdServers();
    void addPlacement(std::uint64_t hostNumber, std::uint64_t job, const std::string& server);
    void addDecisions(const std::vector<balance::SchedulingDecision>& decisions);
    wire::Datagram& replyTo(std::uint64_t hostNumber);
    //! Names the host as the receiver of the datagram.
    static OutgoingDatagram addressedTo(const Host& host, wire::Datagram datagram);
    void publishOwners();
    bool hasManyHosts() const;
    void answerStateRequests(Host& host, const wire::Report& report);
    void answerStateRequest(Host& host, const wire::StateRequest& request, bool urgent);
    //! Returns whether the bytes may be sent before the next beacons.
    bool takeStateBytes(std::size_t bytes, bool urgent);
    OutgoingDatagram makeBeacon(Host& host, const CoordinatorStatus& status, std::uint32_t standbyRank);
    std::vector<OutgoingDatagram> makePredecessorBeacons() const;
    void setUnmanagedJobs(Host& host, std::map<std::string, unsigned> inFlight);
    bool isStable(const Host& host) const;
    bool hasStoreContact(const Host& host) const;
    std::map<std::string, std::uint32_t> standbyRanks(const std::string& ownIncarnation) const;
    void fillHostAddresses(Host& host, wire::Beacon& beacon) const;
    void updateCapacities();
    void updateSurgePolicies();
    void updateDataCentreDistance();
    void updateOwnership();
    void removeTimedOutHosts();
    //! Removes the hosts whose datagrams the sender has received at its own address.
    void removeReplacedHosts(const Host& sender, const wire::Datagram& datagram);
    using HostEntry = std::map<std::string, Host>::iterator;
    HostEntry findHost(std::uint64_t number);
    HostEntry removeHost(HostEntry entry, HostChange reason);

    const Clock& clock;
    std::uint64_t currentTerm;
    keyspace::KeyLeaseOptions keyLeaseOptions;
    balance::Scheduler scheduler;
    bool started = false;
    std::map<std::string, keyspace::KeyPlan> storedPlans;
    std::shared_ptr<const fleet::Configuration> configuration;
    fleet::ServerMap listedServers; //!< as they were set
    fleet::ServerMap servers; //!< with the leaving ones marked as draining
    fleet::LeavingServers leavingServers;
    fleet::Evacuations evacuations;
    fleet::ServerMap announcedServers; //!< as of the last round of beacons
    std::map<std::string, unsigned> unmanagedJobs; //!< of all hosts, by server
    TimePoint ownersPublishedAt {};
    unsigned beaconRound = 0;
    StatePublisher publisher;
    std::uint64_t stateSequence = 0;
    std::size_t stateBytesPerRound;
    std::size_t stateBytesLeft = 0; //!< that answers to requests may take until the next beacons, except urgent ones
    std::size_t urgentStateBytesLeft = 0; //!< that all answers may take until then
    std::vector<OutgoingDatagram> stateReplies;
    std::map<std::string, KeyedService, std::less<>> keyedServices;
    std::map<std::string, Host> hosts; //!< by incarnation
    std::map<std::uint64_t, std::string> incarnationOfHost;
    std::map<std::string, std::string> dataCentreByAddress; //!< of the hosts that report
    std::map<std::uint64_t, wire::Datagram> replies; //!< by host number
    std::vector<keyspace::KeyPlan> planWrites;
    std::vector<keyspace::LeaseOrder> leaseOrders;
    std::vector<keyspace::OwnershipEvent> ownershipEvents;
    std::vector<HostEvent> hostEvents;
    std::uint64_t lastHostNumber = 0;
    bool peerStoreContact = false;
    TimePoint lastLoadUpdate {};
    TimePoint lastDistanceUpdate {};
    bool limitsColdServers = false;
    bool ownershipFrozen = false;
    std::vector<std::string> predecessorHosts; //!< addresses
    TimePoint predecessorHostsUntil {};
};

}
