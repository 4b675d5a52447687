#include "coordination/Coordinator.h"
#include "coordination/PlacementClient.h"
#include "coordination/StateEncoding.h"
#include "core/ManualClock.h"

#include <doctest/doctest.h>

using namespace sequoia;
using namespace sequoia::coordination;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::string hostAddress = "127.0.0.1:1000";
const balance::ColdLimitsByService limits { { "plain", balance::ColdLimits::within(4.4, 1.5, 8, seconds(6)) },
    { "keyed", balance::ColdLimits::within(4.4, 1.5, 8, seconds(6)) } };

//! s0 is cold.
fleet::ServerMap twoServers(const std::string& service = "plain")
{
    fleet::ServerMap map;
    for (int i = 0; i < 2; ++i) {
        fleet::ServerEntry entry;
        entry.instance = { "s" + std::to_string(i), 1 };
        entry.service = service;
        entry.address = "10.0.0.1:80";
        entry.slots = 6;
        map[entry.instance.id] = entry;
    }
    map.at("s0").warmupLeft = seconds(3);
    return map;
}

class CountingObserver final : public edge::PlacementObserver {
public:
    void onPlaced(std::uint64_t, const edge::PlacementTarget& target) override { ++this->placed[target.server]; }
    void onRefused(std::uint64_t, const edge::PlacementRefusal&) override { }
    std::map<std::string, int> placed;
};

//! A coordinator, and a host that gets changes of the list of servers from it.
class ColdFixture {
public:
    explicit ColdFixture(bool limited = true)
    {
        if (limited) {
            this->coordinator.setColdLimits(limits);
            this->host.setColdLimits(limits);
        }
        this->coordinator.setServers(twoServers());
        this->coordinator.start({});
        wire::Datagram report;
        report.set_sender("host");
        report.mutable_report();
        this->coordinator.receive(report, hostAddress);
    }

    void sendBeacons()
    {
        for (const auto& message : this->coordinator.makeBeacons({})) {
            if (message.datagram.has_server_changes())
                applyServerChanges(message.datagram.server_changes(), this->hostList);
        }
        this->host.setServers(this->hostList);
    }

    std::uint64_t submit()
    {
        balance::Job job;
        job.id.number = ++this->lastJob;
        job.service = "plain";
        job.target = this->clock.now() + milliseconds(600);
        job.deadline = this->clock.now() + milliseconds(2500);
        this->host.submit(job, this->observer);
        return this->lastJob;
    }

    void exchange()
    {
        wire::Datagram datagram;
        if (this->host.takeMessages(datagram)) {
            datagram.set_sender("host");
            this->coordinator.receive(datagram, hostAddress);
        }
        for (const auto& message : this->coordinator.takeReplies())
            this->host.receive(message.datagram);
    }

    ManualClock clock;
    Coordinator coordinator { this->clock, 1, {}, {} };
    PlacementClient host { this->clock, {}, [] {} };
    CountingObserver observer;
    fleet::ServerMap hostList;
    std::uint64_t lastJob = 0;
};

}

// Guards against hosts that do not know which servers are cold when they lose the coordinator.
TEST_CASE("hosts learn that a server is cold, and that it is no longer")
{
    ColdFixture fixture;
    fixture.sendBeacons();
    CHECK(fixture.hostList.at("s0").cold);
    CHECK_FALSE(fixture.hostList.at("s1").cold);
    CHECK(fixture.coordinator.coldServers() == 1);
    fixture.clock.advance(milliseconds(3100));
    fixture.sendBeacons();
    CHECK_FALSE(fixture.hostList.at("s0").cold);
    CHECK(fixture.coordinator.coldServers() == 0);
    auto again = twoServers();
    again.at("s0").warmupLeft = seconds(5);
    fixture.coordinator.setServers(again);
    fixture.sendBeacons();
    CHECK(fixture.hostList.at("s0").cold);
}

// Guards against other bytes between hosts where no service states a rate for cold servers.
TEST_CASE("without limits no server is marked as cold")
{
    ColdFixture fixture(false);
    fixture.sendBeacons();
    CHECK(encodeServers(fixture.hostList) == encodeServers(twoServers()));
    CHECK(fixture.coordinator.coldServers() == 0);
}

// Guards against hosts that each send a cold server what only one of them may.
TEST_CASE("a host that places jobs on its own never uses a cold server")
{
    ColdFixture fixture;
    fixture.sendBeacons();
    for (int i = 0; i < 50; ++i) {
        auto job = fixture.submit();
        fixture.host.reportEnd(job, balance::JobResult::Answered, milliseconds(100));
        fixture.clock.advance(milliseconds(100));
        fixture.host.tick();
    }
    CHECK(fixture.observer.placed["s0"] == 0);
    CHECK(fixture.observer.placed["s1"] == 50);
}

// Load pattern: a change of coordinator while a server is cold. The requests of the predecessor count, too.
TEST_CASE("a new coordinator sends nothing to cold servers in its first window, and something soon afterwards")
{
    ColdFixture fixture;
    auto onlyCold = twoServers();
    onlyCold.erase("s1");
    fixture.coordinator.setServers(onlyCold);
    fixture.host.setServers(onlyCold);
    fixture.host.onCoordinatorContact(1);
    for (int i = 0; i < 20; ++i)
        fixture.submit();
    for (int i = 0; i < 18; ++i) {
        if (i == 11)
            CHECK(fixture.observer.placed.empty());
        fixture.clock.advance(milliseconds(100));
        fixture.host.onCoordinatorContact(1);
        fixture.coordinator.tick();
        fixture.exchange();
    }
    CHECK(fixture.observer.placed["s0"] >= 1);
    CHECK(fixture.observer.placed["s0"] <= 4);
    CHECK(fixture.coordinator.jobsHeldByColdLimit() == 20);
}

// Guards against a cold server that gets as many keys as a warm one, so that their callers wait.
TEST_CASE("the keys that a cold server is given follow the rate that it sustains")
{
    for (bool limited : { true, false }) {
        ManualClock clock;
        Coordinator coordinator { clock, 1, {}, {} };
        auto configuration = std::make_shared<fleet::Configuration>();
        configuration->services["keyed"] = { "keyed", 10, true, {} };
        coordinator.setConfiguration(configuration, "");
        if (limited)
            coordinator.setColdLimits(limits);
        fleet::ServerMap list;
        for (int i = 0; i < 8; ++i) {
            auto entry = twoServers("keyed").at("s1");
            entry.instance.id = "s" + std::to_string(i);
            entry.cold = i == 0; // as the preceding coordinator marked it
            list[entry.instance.id] = entry;
        }
        coordinator.setServers(list);
        coordinator.start({});
        std::size_t keysOfCold = 0;
        for (int i = 0; i < 10; ++i) {
            clock.advance(milliseconds(100));
            coordinator.tick();
            for (const auto& plan : coordinator.takePlanWrites()) {
                keysOfCold = 0;
                for (const auto& range : plan.ranges) {
                    const auto& owner = range.successor ? range.successor->server : range.owner;
                    if (owner.id == "s0")
                        keysOfCold += range.keys.last - range.keys.first + 1U;
                }
            }
        }
        CAPTURE(limited);
        CAPTURE(keysOfCold);
        // The smallest part that a server is given, half of an equal one, or an equal one.
        CHECK((keysOfCold < fleet::keyCount / 12) == limited);
        CHECK(keysOfCold > 0);
    }
}
