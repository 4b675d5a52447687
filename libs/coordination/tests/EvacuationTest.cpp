#include "coordination/Coordinator.h"
#include "coordination/PlacementClient.h"
#include "coordination/StateEncoding.h"
#include "coordination/StateReplica.h"
#include "core/ManualClock.h"
#include "core/Random.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace sequoia;
using namespace sequoia::coordination;

namespace {

constexpr std::uint32_t slotsPerServer = 8;
constexpr Duration roundTime = std::chrono::milliseconds(150);

class Observer final : public edge::PlacementObserver {
public:
    void onPlaced(std::uint64_t job, const edge::PlacementTarget& target) override
    {
        this->placed[job] = target.server;
    }
    void onRefused(std::uint64_t job, const edge::PlacementRefusal& refusal) override
    {
        this->refused[job] = refusal.reason;
    }

    std::map<std::uint64_t, std::string> placed;
    std::map<std::uint64_t, balance::RefusalReason> refused;
};

//! Two servers without keys and two with keys, each one in data centre "a" and one in "b".
fleet::ServerMap servers()
{
    fleet::ServerMap map;
    for (const std::string service : { "plain", "keyed" }) {
        for (const std::string dataCentre : { "a", "b" }) {
            fleet::ServerEntry entry;
            entry.instance = { service + "-" + dataCentre, 1 };
            entry.service = service;
            entry.address = "10.0.0.1:80";
            entry.dataCentre = dataCentre;
            entry.slots = slotsPerServer;
            map[entry.instance.id] = entry;
        }
    }
    return map;
}

struct Host {
    explicit Host(const Clock& clock)
        : client(clock, {}, [] {})
    {
        this->client.setServers(servers());
    }

    PlacementClient client;
    StateReplica replica;
    Observer observer;
};

//! A coordinator and two hosts. Its servers accept each order at once.
class EvacuationFixture {
public:
    EvacuationFixture()
    {
        auto configuration = std::make_shared<fleet::Configuration>();
        configuration->version = 1;
        configuration->services["plain"] = { "plain", 100, false, {} };
        configuration->services["keyed"] = { "keyed", 100, true, {} };
        this->configuration = configuration;
        this->startCoordinator();
        this->pass(std::chrono::seconds(2));
    }

    void startCoordinator()
    {
        this->coordinator = std::make_unique<Coordinator>(
            this->clock, ++this->term, balance::SchedulerOptions {}, keyspace::KeyLeaseOptions {});
        this->coordinator->setConfiguration(this->configuration, "text");
        this->coordinator->setServers(servers());
        std::vector<keyspace::KeyPlan> plans;
        if (this->plan)
            plans.push_back(*this->plan);
        this->coordinator->start(std::move(plans));
    }

    void runCoordinator()
    {
        this->coordinator->tick();
        for (const auto& write : this->coordinator->takePlanWrites()) {
            this->plan = write;
            this->coordinator->onPlanWritten(write.service, write.sequence);
        }
        for (const auto& order : this->coordinator->takeLeaseOrders()) {
            if (!order.renewal)
                this->orders.push_back(order);
            this->coordinator->onOrderResponse(order, { keyspace::LeaseOrderResult::Accepted, {}, false });
        }
    }

    void deliver(std::vector<OutgoingDatagram> messages)
    {
        for (auto& message : messages) {
            message.datagram.set_term(this->term);
            auto& host = this->hosts[message.address == "0" ? 0 : 1];
            if (message.datagram.has_beacon())
                host.client.onCoordinatorContact(this->term);
            for (const auto& group : host.replica.apply(message.datagram)) {
                if (auto service = serviceOfOwnerGroup(group); !service.empty())
                    REQUIRE(succeeded(host.client.plans().update(service, host.replica.contents(group))));
            }
            if (host.replica.takeChange(evacuationGroup)) {
                auto state = decodeEvacuations(host.replica.contents(evacuationGroup));
                REQUIRE(succeeded(state));
                host.client.setEvacuations(valueOf(state));
                host.client.handWaitingJobsOver();
            }
            host.client.receive(message.datagram);
        }
    }

    //! Messages of all hosts and the answers, with or without reports and beacons.
    void exchange(bool periodic = false)
    {
        for (std::size_t i = 0; i < this->hosts.size(); ++i) {
            wire::Datagram datagram;
            this->hosts[i].client.takeMessages(datagram);
            datagram.set_sender("h" + std::to_string(i));
            if (periodic) {
                this->hosts[i].client.fillReport(*datagram.mutable_report());
                this->hosts[i].replica.fillRequests(*datagram.mutable_report());
            }
            this->sentSubmits += datagram.submits_size();
            this->coordinator->receive(datagram, std::to_string(i));
        }
        this->runCoordinator();
        this->deliver(this->coordinator->takeReplies());
        if (periodic)
            this->deliver(this->coordinator->makeBeacons({ "self", false, false, 0 }));
    }

    void pass(Duration time)
    {
        for (auto end = this->clock.now() + time; this->clock.now() < end;) {
            this->clock.advance(roundTime);
            this->exchange(true);
            for (auto& host : this->hosts)
                host.client.tick();
        }
    }

    std::uint64_t submit(std::size_t host, const std::string& service)
    {
        balance::Job job;
        job.id.number = ++this->lastJob;
        job.service = service;
        if (service == "keyed")
            job.key = static_cast<fleet::Key>(this->lastJob * 4099);
        job.target = this->clock.now() + std::chrono::milliseconds(800);
        job.deadline = this->clock.now() + std::chrono::seconds(3);
        this->hosts[host].client.submit(job, this->hosts[host].observer);
        this->exchange();
        return this->lastJob;
    }

    //! Submits more jobs than one server has slots, and returns the servers that got them. Ends all of them.
    std::set<std::string> usedServers(const std::string& service)
    {
        std::set<std::string> used;
        std::vector<std::uint64_t> jobs;
        for (std::size_t i = 0; i < 2 * slotsPerServer; ++i)
            jobs.push_back(this->submit(i % 2, service));
        for (std::size_t i = 0; i < jobs.size(); ++i) {
            auto& host = this->hosts[i % 2];
            if (host.observer.placed.contains(jobs[i]))
                used.insert(host.observer.placed[jobs[i]]);
            host.client.withdraw(jobs[i]);
            host.client.reportEnd(jobs[i], balance::JobResult::Answered, std::chrono::milliseconds(20));
        }
        this->exchange();
        return used;
    }

    ManualClock clock;
    std::shared_ptr<const fleet::Configuration> configuration;
    std::uint64_t term = 0;
    std::optional<keyspace::KeyPlan> plan;
    std::unique_ptr<Coordinator> coordinator;
    std::array<Host, 2> hosts { Host(this->clock), Host(this->clock) };
    std::vector<keyspace::LeaseOrder> orders;
    std::uint64_t lastJob = 0;
    int sentSubmits = 0;
};

using Servers = std::set<std::string>;
constexpr Duration bound = std::chrono::seconds(5);

}

// Guards against requests to an evacuated data centre, from the coordinator's queues or by hosts that have lost it, and
// against servers that stay unused after the withdrawal.
TEST_CASE("an evacuation reaches the hosts, takes all requests from the servers, and ends with its withdrawal")
{
    EvacuationFixture fixture;
    CHECK(fixture.usedServers("plain") == Servers { "plain-a", "plain-b" });
    CHECK(fixture.usedServers("keyed") == Servers { "keyed-a", "keyed-b" });
    fixture.orders.clear();
    fixture.coordinator->setEvacuations({ 10, { "a", "no such place" } });
    CHECK(fixture.usedServers("plain") == Servers { "plain-b" });
    fixture.pass(bound);
    CHECK(fixture.usedServers("keyed") == Servers { "keyed-b" });
    // Keys are handed over: the owner releases them before another server gets them.
    auto indexOf = [&](keyspace::LeaseOrderType type, const char* server) {
        return std::find_if(fixture.orders.begin(), fixture.orders.end(), [&](const auto& order) {
            return order.type == type && order.server.id == server;
        }) - fixture.orders.begin();
    };
    auto released = indexOf(keyspace::LeaseOrderType::Release, "keyed-a");
    CHECK(released < indexOf(keyspace::LeaseOrderType::Grant, "keyed-b"));
    CHECK(released < static_cast<std::ptrdiff_t>(fixture.orders.size()));
    for (auto& host : fixture.hosts)
        host.client.onCoordinatorLost();
    CHECK(fixture.usedServers("plain") == Servers { "plain-b" });
    CHECK(fixture.usedServers("keyed") == Servers { "keyed-b" });
    fixture.coordinator->setEvacuations({ 12, {} });
    fixture.pass(std::chrono::seconds(1));
    CHECK(fixture.usedServers("plain") == Servers { "plain-a", "plain-b" });
}

// Guards against keys that stay with a server whose evacuation is withdrawn while they move.
TEST_CASE("an evacuation that is withdrawn before it is complete leaves all keys with an owner")
{
    EvacuationFixture fixture;
    fixture.coordinator->setEvacuations({ 10, { "a" } });
    fixture.coordinator->tick();
    fixture.coordinator->setEvacuations({ 11, {} });
    fixture.pass(std::chrono::seconds(3));
    CHECK(fixture.coordinator->hasStableOwners());
    for (int i = 0; i < 20; ++i) {
        auto job = fixture.submit(0, "keyed");
        CHECK(fixture.hosts[0].observer.placed.contains(job));
        fixture.hosts[0].client.reportEnd(job, balance::JobResult::Answered, std::chrono::milliseconds(20));
    }
}

// Guards against a coordinator without the store that keeps sending requests there through hosts that know better, and
// against messages that go to and fro between them.
TEST_CASE("a host that knows of an evacuation declines placements there without a loop, until the coordinator knows")
{
    EvacuationFixture fixture;
    auto& host = fixture.hosts[0];
    host.client.setEvacuations({ 10, { "a" } });
    auto checkOneSubmissionEach = [&] {
        fixture.sentSubmits = 0;
        for (int i = 0; i < 16; ++i) {
            auto job = fixture.submit(0, "plain");
            fixture.exchange();
            CHECK(host.observer.placed[job] == "plain-b");
            host.client.reportEnd(job, balance::JobResult::Answered, std::chrono::milliseconds(20));
        }
        CHECK(fixture.sentSubmits == 16);
    };
    checkOneSubmissionEach();
    // An older state of the coordinator does not count.
    fixture.coordinator->setEvacuations({ 9, {} });
    fixture.pass(roundTime * 3);
    checkOneSubmissionEach();
    // Jobs whose key belongs to a server there wait for its next owner.
    std::vector<std::uint64_t> waiting;
    for (int i = 0; i < 8; ++i)
        waiting.push_back(fixture.submit(0, "keyed"));
    CHECK(std::any_of(waiting.begin(), waiting.end(), [&](auto job) { return !host.observer.placed.contains(job); }));
    fixture.coordinator->setEvacuations({ 10, { "a" } });
    fixture.pass(roundTime * 5);
    for (auto job : waiting)
        CHECK(host.observer.placed[job] == "keyed-b");
}

// Guards against jobs that wait for the small share of slots of one host although a coordinator could place them.
TEST_CASE("jobs whose placements a host declined go to the next coordinator")
{
    EvacuationFixture fixture;
    auto& host = fixture.hosts[0];
    auto listed = servers();
    listed.erase("plain-a");
    host.client.setServers(listed);
    host.client.preferOwnList(true);
    for (std::size_t i = 0; i < std::size_t { slotsPerServer }; ++i)
        fixture.submit(0, "plain");
    CHECK(host.observer.placed.size() < slotsPerServer);
    fixture.startCoordinator();
    fixture.coordinator->setServers(listed);
    fixture.exchange(true);
    fixture.exchange(true);
    CHECK(host.observer.placed.size() == slotsPerServer);
    for (const auto& [job, server] : host.observer.placed)
        CHECK(server == "plain-b");
}

// Guards against callers that wait until their deadlines for servers that are all evacuated.
TEST_CASE(
    "when all servers of a service are evacuated, new and waiting jobs are refused at once, also without coordinator")
{
    for (const std::string service : { "plain", "keyed" }) {
        CAPTURE(service);
        EvacuationFixture fixture;
        auto& host = fixture.hosts[0];
        // More jobs than the servers have slots.
        for (int i = 0; i < 50; ++i)
            fixture.submit(0, service);
        fixture.coordinator->setEvacuations({ 10, { "a", "b" } });
        auto job = fixture.submit(0, service);
        REQUIRE(host.observer.refused.contains(job));
        CHECK(host.observer.refused[job] == balance::RefusalReason::NoServer);
        fixture.pass(roundTime * 3);
        CHECK(host.observer.placed.size() + host.observer.refused.size() == 51);
        host.client.onCoordinatorLost();
        job = fixture.submit(0, service);
        CHECK(host.observer.refused.contains(job));
        fixture.coordinator->setEvacuations({ 11, { "a" } });
        fixture.pass(bound);
        CHECK(fixture.usedServers(service) == Servers { service + "-b" });
    }
}

// Guards against an evacuation that is lost, or comes back, with a change of the coordinator.
TEST_CASE("a new coordinator that is behind neither ends an evacuation at the hosts nor repeats one that was withdrawn")
{
    for (bool withdrawn : { false, true }) {
        CAPTURE(withdrawn);
        EvacuationFixture fixture;
        fixture.coordinator->setEvacuations({ 10, { "a" } });
        fixture.pass(bound);
        if (withdrawn)
            fixture.coordinator->setEvacuations({ 20, {} });
        fixture.pass(roundTime * 3);
        fixture.startCoordinator();
        auto expected = withdrawn ? Servers { "plain-a", "plain-b" } : Servers { "plain-b" };
        fixture.pass(std::chrono::seconds(1));
        CHECK(fixture.usedServers("plain") == expected);
        // An earlier state, as a host may have read it.
        fixture.coordinator->setEvacuations(
            withdrawn ? fleet::EvacuationState { 10, { "a" } } : fleet::EvacuationState { 5, {} });
        fixture.pass(std::chrono::seconds(1));
        for (auto& host : fixture.hosts)
            host.client.onCoordinatorLost();
        CHECK(fixture.usedServers("plain") == expected);
        // Its own read of the store brings it up to date.
        fixture.coordinator->setEvacuations(
            withdrawn ? fleet::EvacuationState { 20, {} } : fleet::EvacuationState { 10, { "a" } });
        fixture.pass(std::chrono::seconds(5));
        CHECK(fixture.usedServers("plain") == expected);
    }
}

// Guards against a state that is never applied since its bucket overtook the beacon that announces it.
TEST_CASE("a state whose bucket arrives before its digest is taken when the digest arrives, once")
{
    StatePublisher publisher;
    StateReplica replica;
    std::uint64_t sequence = 0;
    auto announce = [&] {
        wire::Datagram datagram;
        datagram.set_sequence(++sequence);
        publisher.fillDigests(*datagram.mutable_beacon());
        replica.apply(datagram);
    };
    auto send = [&] {
        wire::Datagram datagram;
        datagram.set_sequence(++sequence);
        wire::StateRequest request;
        request.set_group(evacuationGroup);
        *datagram.add_buckets() = publisher.differences(request).at(0);
        replica.apply(datagram);
    };
    publisher.publish(evacuationGroup, encodeEvacuations({ 1, { "a" } }));
    announce();
    publisher.publish(evacuationGroup, encodeEvacuations({ 2, { "b" } }));
    send();
    CHECK_FALSE(replica.takeChange(evacuationGroup));
    announce();
    CHECK(replica.takeChange(evacuationGroup));
    CHECK(valueOf(decodeEvacuations(replica.contents(evacuationGroup))) == fleet::EvacuationState { 2, { "b" } });
    announce();
    CHECK_FALSE(replica.takeChange(evacuationGroup));
}

// Guards against names that contain separators, and against malformed messages of other hosts.
TEST_CASE("states of evacuations survive encoding, and malformed ones are refused")
{
    for (const auto& state : { fleet::EvacuationState { 1, {} }, fleet::EvacuationState { UINT64_MAX, { "a", "b" } },
             fleet::EvacuationState { 7, { "a\n", "1:b", std::string("\0:", 2), std::string(3000, 'x') } } })
        CHECK(valueOf(decodeEvacuations(encodeEvacuations(state))) == state);
    for (const auto* text : { "", ":", "0:", "x:", "5", "5:1", "5:2:a", "5:0:", "5:1:a9", "5:99999999999999999999:a",
             "-1:", "18446744073709551616:" }) {
        CAPTURE(text);
        CHECK_FALSE(succeeded(decodeEvacuations(encodeText(text))));
    }
    RandomEngine random(1);
    for (int i = 0; i < 20'000; ++i) {
        auto text = valueOf(Result<std::string>(decodeText(encodeEvacuations({ 77, { "east", "west" } }))));
        for (auto changes = random() % 4 + 1; changes > 0; --changes)
            text[random() % text.size()] = static_cast<char>(random());
        text.resize(random() % (text.size() + 1));
        (void)decodeEvacuations(encodeText(text));
    }
    CHECK_FALSE(succeeded(decodeEvacuations({})));
}
