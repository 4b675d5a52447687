#include "TestServers.h"
#include "coordination/Coordinator.h"
#include "coordination/FleetTraffic.h"
#include "coordination/HostIdentity.h"
#include "coordination/ListReadPolicy.h"
#include "coordination/PlacementClient.h"
#include "coordination/StateEncoding.h"
#include "coordination/StateReplica.h"
#include "core/ManualClock.h"

#include <doctest/doctest.h>
#include <map>
#include <set>

using namespace sequoia;
using namespace sequoia::coordination;

namespace {

constexpr std::size_t hostCount = 300;
constexpr int serverCount = 3000;
constexpr Duration roundLength = std::chrono::milliseconds(150);

//! A host that takes each job of its callers at once from the coordinator and ends it in the next round.
class Host final : public edge::PlacementObserver {
public:
    Host(const Clock& clock, std::size_t hostIndex)
        : index(hostIndex)
        , identity("0123456789abcdef0123456789ab" + std::to_string(hostIndex))
        , placement(clock, {}, [] {})
    {
        this->placement.onCoordinatorContact(1);
    }

    std::string address() const { return "10.0.0.1:" + std::to_string(this->index + 1); }
    void onPlaced(std::uint64_t job, const edge::PlacementTarget&) override { this->running.push_back(job); }
    void onRefused(std::uint64_t, const edge::PlacementRefusal&) override { }

    std::size_t index;
    HostIdentity identity;
    StateReplica replica;
    PlacementClient placement;
    std::vector<std::uint64_t> running;
};

//! A coordinator and its hosts, over a network without loss.
class Fleet {
public:
    Fleet()
    {
        auto configuration = std::make_shared<fleet::Configuration>();
        configuration->version = 1;
        configuration->services["service0"] = { "service0", 1000, false, {} };
        configuration->services["service1"] = { "service1", 1000, true, {} };
        this->coordinator.setConfiguration(configuration, std::string(5000, 'x'));
        this->coordinator.setServers(this->servers);
        this->coordinator.start({});
        for (std::size_t i = 0; i < hostCount; ++i)
            this->hosts.push_back(std::make_unique<Host>(this->clock, i));
    }

    void sendToCoordinator(Host& host, wire::Datagram datagram)
    {
        host.identity.setSender(datagram, 1, this->clock.now());
        this->traffic.add(datagram, TrafficScope::Unknown);
        this->coordinator.receive(datagram, host.address());
    }

    void deliver(std::vector<OutgoingDatagram> messages)
    {
        for (auto& message : messages) {
            message.datagram.set_term(1);
            this->traffic.add(message.datagram, TrafficScope::Unknown);
            auto& host = *this->hosts[static_cast<std::size_t>(std::stoul(message.address.substr(9))) - 1];
            host.identity.identifyReceiver(message.datagram, this->clock.now());
            host.replica.apply(message.datagram);
            host.placement.receive(message.datagram);
        }
    }

    void answerOrders()
    {
        this->coordinator.tick();
        for (const auto& plan : this->coordinator.takePlanWrites())
            this->coordinator.onPlanWritten(plan.service, plan.sequence);
        for (const auto& order : this->coordinator.takeLeaseOrders())
            this->coordinator.onOrderResponse(order, { keyspace::LeaseOrderResult::Accepted, {}, false });
    }

    //! One round of reports, jobs and beacons. Each host ends the jobs of the round before.
    void round(bool withJobs)
    {
        this->answerOrders();
        for (auto& host : this->hosts) {
            for (auto job : std::exchange(host->running, {}))
                host->placement.reportEnd(job, balance::JobResult::Answered, roundLength);
            wire::Datagram datagram;
            host->placement.takeMessages(datagram);
            auto& report = *datagram.mutable_report();
            report.set_strength(0.25);
            report.set_data_centre("dc" + std::to_string(host->index % 3));
            report.set_store_contact_age_ms(20'000);
            host->replica.fillRequests(report);
            this->sendToCoordinator(*host, std::move(datagram));
            if (withJobs)
                this->submit(*host);
        }
        this->deliver(this->coordinator.takeReplies());
        this->deliver(this->coordinator.makeBeacons({ "self", false, false, 400, "dc0" }));
        this->clock.advance(roundLength);
    }

    void submit(Host& host)
    {
        balance::Job job;
        job.id.number = ++this->lastJob;
        job.service = "service0";
        job.target = this->clock.now() + std::chrono::seconds(1);
        job.deadline = this->clock.now() + std::chrono::seconds(4);
        host.placement.submit(job, host);
        wire::Datagram datagram;
        if (host.placement.takeMessages(datagram))
            this->sendToCoordinator(host, std::move(datagram));
    }

    std::size_t currentHosts(const std::string& group) const
    {
        return static_cast<std::size_t>(std::count_if(
            this->hosts.begin(), this->hosts.end(), [&](const auto& host) { return host->replica.isCurrent(group); }));
    }

    //! Runs rounds until all hosts have the group, and returns their number.
    int roundsUntilCurrent(const std::string& group, int limit)
    {
        int rounds = 0;
        for (; rounds < limit && (rounds == 0 || this->currentHosts(group) < hostCount); ++rounds)
            this->round(false);
        return rounds;
    }

    double bytesPerHostSecond(TrafficPurpose purpose, int rounds) const
    {
        return static_cast<double>(this->traffic.count(purpose, TrafficScope::Unknown).bytes) / hostCount
            / (rounds * 0.15);
    }

    ManualClock clock;
    fleet::ServerMap servers = makeServers(serverCount);
    Coordinator coordinator { this->clock, 1, {}, {} };
    std::vector<std::unique_ptr<Host>> hosts;
    FleetTraffic traffic;
    std::uint64_t lastJob = 0;
};

}

// Guards against traffic that grows with the square of the fleet's size: what a host receives and sends in steady state
// must not depend on the number of hosts.
TEST_CASE("300 hosts in steady state stay within 2 KB a second and host")
{
    Fleet fleet;
    for (auto& host : fleet.hosts)
        host->replica.assign(serverGroup, encodeServers(fleet.servers));
    fleet.coordinator.setLinkSpeed(200);
    for (int i = 0; i < 200; ++i)
        fleet.round(false);
    REQUIRE(fleet.currentHosts(configurationGroup) == hostCount);
    constexpr int rounds = 20;
    for (bool withJobs : { false, true }) {
        CAPTURE(withJobs);
        fleet.traffic = {};
        for (int i = 0; i < rounds; ++i)
            fleet.round(withJobs);
        double total = static_cast<double>(fleet.traffic.total().bytes) / hostCount / (rounds * 0.15);
        MESSAGE("bytes a second and host: " << total);
        CHECK(fleet.bytesPerHostSecond(TrafficPurpose::Beacon, rounds) < 700);
        CHECK(fleet.bytesPerHostSecond(TrafficPurpose::Report, rounds) < 450);
        CHECK(fleet.bytesPerHostSecond(TrafficPurpose::Servers, rounds) == 0);
        CHECK(fleet.bytesPerHostSecond(TrafficPurpose::StateRequest, rounds) < 50);
        CHECK(total < 2000);
    }
}

// Guards against the violation of a day with 300 hosts: the lists of 75 new hosts took the coordinator's whole share of
// the link, and one host had a new configuration 3.7 s after it was acknowledged.
TEST_CASE("a configuration and an evacuation reach 300 hosts while new hosts fetch their lists over a narrow link")
{
    Fleet fleet;
    fleet.coordinator.setLinkSpeed(20);
    for (std::size_t i = 0; i < hostCount; ++i) {
        if (i % 4 != 0)
            fleet.hosts[i]->replica.assign(serverGroup, encodeServers(fleet.servers));
    }
    fleet.roundsUntilCurrent(configurationGroup, 40);
    REQUIRE(fleet.currentHosts(serverGroup) < hostCount);
    auto changed = std::make_shared<fleet::Configuration>();
    changed->version = 2;
    fleet.coordinator.setConfiguration(changed, std::string(5000, 'y'));
    fleet.coordinator.setEvacuations({ 7, { "dc1" } });
    CHECK(fleet.roundsUntilCurrent(evacuationGroup, 40) <= 12);
    CHECK(fleet.roundsUntilCurrent(configurationGroup, 40) <= 12);
}

// Guards against new hosts that read from the store what the coordinator has read for all: 75 lists of 3,000 rows are
// some 50 MB.
TEST_CASE("75 new hosts of 300 get the list from the coordinator before they would read it")
{
    Fleet fleet;
    fleet.coordinator.setLinkSpeed(200);
    RandomEngine random(3);
    std::map<std::size_t, ListReadPolicy> policies;
    for (std::size_t i = 0; i < hostCount; ++i) {
        if (i % 4 == 0)
            policies.emplace(i, ListReadPolicy(random, fleet.clock.now()));
        else
            fleet.hosts[i]->replica.assign(serverGroup, encodeServers(fleet.servers));
    }
    std::set<std::size_t> readers;
    for (int rounds = 0; rounds < 40; ++rounds) {
        fleet.round(false);
        auto now = fleet.clock.now();
        for (auto& [index, policy] : policies) {
            policy.onBeacon(1, hostCount, now);
            if (policy.mustRead({ fleet.hosts[index]->replica.isCurrent(serverGroup), false, {} }, now))
                readers.insert(index);
        }
    }
    CHECK(fleet.currentHosts(serverGroup) == hostCount);
    MESSAGE("hosts that read the list: " << readers.size());
    CHECK(readers.size() <= 15);
}

TEST_CASE("a configuration is sent before the list of servers that the same report asks for first")
{
    Fleet fleet;
    fleet.coordinator.makeBeacons({ "self", false, false, 0 });
    wire::Datagram report;
    report.set_sender("h");
    for (const char* group : { serverGroup, configurationGroup })
        report.mutable_report()->add_state_requests()->set_group(group);
    fleet.coordinator.receive(report, "10.0.0.1:1");
    auto replies = fleet.coordinator.takeReplies();
    REQUIRE(replies.size() > 5);
    CHECK(replies.front().datagram.buckets(0).group() == configurationGroup);
    CHECK(replies.back().datagram.buckets(0).group() == serverGroup);
}
