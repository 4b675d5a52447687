#include "TestProcess.h"

#include <doctest/doctest.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace sequoia;
using namespace sequoia::coordination;

namespace {

constexpr std::uint64_t term = 2;
const std::string hostAddress = "10.0.0.1:7000";

//! A coordinator, and a host whose processes follow each other at one address. Services "a" and "b" have a server each.
class Fixture {
public:
    Fixture()
    {
        for (const char* service : { "a", "b" }) {
            fleet::ServerEntry entry;
            entry.instance = { std::string("server-") + service, 1 };
            entry.service = service;
            entry.address = "10.1.0.1:80";
            entry.slots = 1;
            this->servers[entry.instance.id] = entry;
        }
        this->coordinator.setServers(this->servers);
        this->coordinator.start({});
        this->restart("first");
        this->exchange();
        this->beacons();
    }

    void restart(const std::string& incarnation)
    {
        this->process = std::make_unique<TestProcess>(this->clock, incarnation, this->servers);
    }

    //! Delivers the messages of the process, then those of the coordinator to the address.
    void exchange()
    {
        this->coordinator.receive(this->process->takeDatagram(), hostAddress);
        this->deliver(this->coordinator.takeReplies());
    }

    void beacons() { this->deliver(this->coordinator.makeBeacons({ "self", false, false, 0 })); }

    void deliver(const std::vector<OutgoingDatagram>& messages) { this->process->receive(messages, hostAddress, term); }

    ManualClock clock;
    fleet::ServerMap servers;
    Coordinator coordinator { this->clock, term, {}, {} };
    std::unique_ptr<TestProcess> process;
};

}

// Guards against the incident ROUTE: the coordinator took a restarted process for its predecessor, which had had a job
// of the same number, and repeated the placement of that job.
TEST_CASE("a restarted process does not get the placement of its predecessor's job")
{
    Fixture fixture;
    auto before = fixture.process->submit("a");
    fixture.exchange();
    REQUIRE(fixture.process->placed[before].server == "server-a");

    fixture.restart("second");
    fixture.beacons();
    fixture.exchange();
    auto after = fixture.process->submit("b");
    REQUIRE(after == before);
    fixture.exchange();
    CHECK(fixture.process->placed[after].server == "server-b");
}

// Guards against decisions that are addressed to a host's address only, where another process runs by now.
TEST_CASE("decisions on jobs of a predecessor do not reach a restarted process")
{
    Fixture fixture;
    auto running = fixture.process->submit("a");
    fixture.exchange();
    auto queued = fixture.process->submit("a");
    auto waiting = fixture.process->submit("a");
    fixture.exchange();
    REQUIRE(fixture.process->placed.size() == 1);
    // The slots become free, and the time of the other job ends, after the process was killed.
    fixture.process->placement.reportEnd(running, balance::JobResult::Answered, std::chrono::milliseconds(100));
    fixture.coordinator.receive(fixture.process->takeDatagram(), hostAddress);
    auto placements = fixture.coordinator.takeReplies();
    REQUIRE_FALSE(placements.empty());
    fixture.clock.advance(std::chrono::seconds(1));
    fixture.coordinator.receive(fixture.process->takeDatagram(), hostAddress);
    fixture.clock.advance(std::chrono::milliseconds(1400));
    fixture.coordinator.receive(fixture.process->takeDatagram(), hostAddress);
    fixture.clock.advance(std::chrono::milliseconds(1400));
    fixture.coordinator.tick();
    auto refusals = fixture.coordinator.takeReplies();

    fixture.restart("second");
    fixture.beacons();
    for (std::uint64_t job = 0; job < waiting; ++job)
        fixture.process->submit("b");
    fixture.deliver(placements);
    fixture.deliver(refusals);
    CHECK(fixture.process->placed.count(queued) == 0);
    CHECK(fixture.process->refused.empty());
}

// Guards against servers whose slots stay taken for the jobs of a process that has ended: it is known to have ended as
// soon as another process gets its messages.
TEST_CASE("the jobs of a predecessor are dropped once the new process has received a datagram for it")
{
    Fixture fixture;
    fixture.process->submit("a");
    fixture.process->submit("a");
    fixture.process->submit("a");
    fixture.exchange();
    fixture.restart("second");
    fixture.exchange();
    CHECK(fixture.coordinator.hostCount() == 2);
    fixture.beacons();
    fixture.exchange();
    CHECK(fixture.coordinator.hostCount() == 1);
    CHECK(fixture.coordinator.waitingJobs() == 0);
    auto job = fixture.process->submit("a");
    fixture.exchange();
    CHECK(fixture.process->placed[job].server == "server-a");
}

// Guards against a process that loses its jobs because datagrams of its predecessor arrive late, twice or out of order.
TEST_CASE("late datagrams of a predecessor neither remove the new process nor change its number")
{
    Fixture fixture;
    fixture.process->submit("a");
    auto byNumber = fixture.process->takeDatagram();
    REQUIRE(byNumber.host_number() != 0);
    auto byIncarnation = byNumber;
    byIncarnation.clear_host_number();
    byIncarnation.set_sender("first");
    fixture.restart("second");
    fixture.exchange();
    fixture.beacons();
    auto number = fixture.process->identity.number();
    for (const auto& late : { byNumber, byIncarnation, byNumber, byIncarnation }) {
        auto job = fixture.process->submit("b");
        fixture.coordinator.receive(late, hostAddress);
        fixture.exchange();
        CHECK(fixture.process->placed[job].server == "server-b");
        fixture.process->placement.reportEnd(job, balance::JobResult::Answered, std::chrono::milliseconds(10));
        fixture.beacons();
        fixture.exchange();
    }
    CHECK(fixture.process->identity.number() == number);
    CHECK(fixture.coordinator.hostCount() == 1);
}

// Guards against a process that goes back to a number under which the coordinator has forgotten its jobs.
TEST_CASE("a process that the coordinator has forgotten does not return to its earlier number")
{
    Fixture fixture;
    auto lateBeacons = fixture.coordinator.makeBeacons({ "self", false, false, 0 });
    auto before = fixture.process->identity.number();
    fixture.clock.advance(std::chrono::seconds(2));
    fixture.coordinator.tick();
    CHECK(fixture.coordinator.hostCount() == 0);
    fixture.exchange();
    fixture.beacons();
    auto after = fixture.process->identity.number();
    CHECK(after > before);
    fixture.deliver(lateBeacons);
    CHECK(fixture.process->identity.number() == after);
    fixture.exchange();
    CHECK(fixture.coordinator.hostCount() == 1);
}

// Guards against a host without placements while hosts of an earlier release, which name no receivers, coordinate.
TEST_CASE("a datagram that names no receiver is for any process, and gives it no number")
{
    HostIdentity identity("self");
    wire::Datagram datagram;
    datagram.set_term(term);
    datagram.mutable_beacon();
    CHECK(identity.identifyReceiver(datagram, {}) == Addressee::AnyProcess);
    CHECK(identity.number() == 0);
    wire::Datagram report;
    identity.setSender(report, term, {});
    CHECK(report.sender() == "self");
}

// Guards against numbers of an earlier term, which belong to other hosts in the next one.
TEST_CASE("a process keeps its number for one term only")
{
    HostIdentity identity("self");
    wire::Datagram datagram;
    datagram.set_term(term);
    datagram.set_host_number(7);
    datagram.set_receiver(digestOfIncarnation("self"));
    REQUIRE(identity.identifyReceiver(datagram, {}) == Addressee::ThisProcess);
    datagram.set_term(term + 1);
    datagram.clear_receiver();
    CHECK(identity.identifyReceiver(datagram, {}) == Addressee::OtherProcess);
    CHECK(identity.number() == 0);
    wire::Datagram report;
    identity.setSender(report, term + 1, {});
    CHECK(report.sender() == "self");
    REQUIRE(report.replaced_hosts_size() == 1);
    CHECK(report.replaced_hosts(0) == 7);
}

// Guards against a job that is dropped because a withdrawal for the coordinator of an earlier term, which had the same
// address, arrives late.
TEST_CASE("an end or a withdrawal of an earlier term does not touch the job that was submitted again")
{
    Fixture fixture;
    auto running = fixture.process->submit("a");
    auto waiting = fixture.process->submit("a");
    fixture.exchange();
    REQUIRE(fixture.coordinator.waitingJobs() == 1);
    for (bool isWithdrawal : { true, false }) {
        CAPTURE(isWithdrawal);
        wire::Datagram late;
        late.set_sender("first");
        late.set_term(term - 1);
        if (isWithdrawal)
            late.add_withdrawals()->set_job(waiting);
        else {
            late.add_ends()->set_job(running);
            late.mutable_ends(0)->set_result(static_cast<std::uint32_t>(balance::JobResult::Abandoned));
        }
        fixture.coordinator.receive(late, hostAddress);
        CHECK(fixture.coordinator.waitingJobs() == 1);
    }
}
