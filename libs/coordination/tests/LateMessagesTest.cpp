#include "TestProcess.h"

#include <doctest/doctest.h>
#include <map>
#include <string>

using namespace sequoia;
using namespace sequoia::coordination;

namespace {

const std::string hostAddress = "10.0.0.1:7000";
const std::string otherAddress = "10.0.0.2:7000";

fleet::ServerMap oneServer(unsigned slots)
{
    fleet::ServerEntry entry;
    entry.instance = { "server", 1 };
    entry.service = "a";
    entry.address = "10.1.0.1:80";
    entry.slots = slots;
    return { { entry.instance.id, entry } };
}

class Fixture {
public:
    explicit Fixture(unsigned slots)
        : servers(oneServer(slots))
    {
        this->coordinator.setServers(this->servers);
        this->coordinator.start({});
        this->exchange();
        this->beacons();
        this->exchange();
        this->beacons();
    }

    void exchange()
    {
        this->coordinator.receive(this->process.takeDatagram(), hostAddress);
        this->process.receive(this->coordinator.takeReplies(), hostAddress, 1);
    }
    void beacons()
    {
        this->process.receive(this->coordinator.makeBeacons({ "self", false, false, 0 }), hostAddress, 1);
    }

    //! A job of another host, which takes a slot at the coordinator.
    wire::Datagram otherHost() const
    {
        wire::Datagram datagram;
        datagram.set_term(1);
        datagram.set_sender("other");
        return datagram;
    }
    void submitAtOtherHost()
    {
        auto datagram = this->otherHost();
        auto* message = datagram.add_submits();
        message->set_job(1);
        message->set_service("a");
        message->set_target_left_ms(3000);
        message->set_deadline_left_ms(6000);
        this->coordinator.receive(datagram, otherAddress);
    }
    void endAtOtherHost()
    {
        auto datagram = this->otherHost();
        auto* end = datagram.add_ends();
        end->set_job(1);
        end->set_result(static_cast<std::uint32_t>(balance::JobResult::Answered));
        this->coordinator.receive(datagram, otherAddress);
    }

    ManualClock clock;
    fleet::ServerMap servers;
    Coordinator coordinator { this->clock, 1, {}, {} };
    TestProcess process { this->clock, "first", this->servers };
};

}

// Guards against a job that waits until its deadline because a withdrawal for its earlier submission, in the same term,
// arrives after the job was submitted again.
TEST_CASE("a late withdrawal does not drop the job that was submitted again in the same term")
{
    Fixture fixture(1);
    auto& process = fixture.process;
    // Without replies the first job is placed locally, and the second one waits behind it.
    process.submit("a", std::chrono::seconds(3), std::chrono::seconds(6));
    process.takeDatagram();
    fixture.clock.advance(std::chrono::milliseconds(260));
    process.placement.tick();
    process.takeDatagram();
    REQUIRE(process.placed.size() == 1);
    fixture.beacons();
    auto waiting = process.submit("a", std::chrono::seconds(3), std::chrono::seconds(6));
    process.takeDatagram();
    fixture.clock.advance(std::chrono::milliseconds(260));
    process.placement.tick();
    auto late = process.takeDatagram();
    REQUIRE(late.withdrawals_size() == 1);
    REQUIRE_FALSE(process.placed.contains(waiting));
    fixture.clock.advance(std::chrono::milliseconds(260));
    process.placement.tick();
    REQUIRE_FALSE(process.placement.usesCoordinator());

    fixture.submitAtOtherHost();
    fixture.beacons();
    fixture.exchange();
    REQUIRE(process.placement.usesCoordinator());
    REQUIRE(fixture.coordinator.waitingJobs() == 1);
    fixture.coordinator.receive(late, hostAddress);
    CHECK(fixture.coordinator.waitingJobs() == 1);
    process.placement.reportEnd(1, balance::JobResult::Answered, std::chrono::milliseconds(10));
    fixture.exchange();
    fixture.endAtOtherHost();
    fixture.coordinator.tick();
    fixture.process.receive(fixture.coordinator.takeReplies(), hostAddress, 1);
    CHECK(process.placed.contains(waiting));
}

// Guards against a server that gets more jobs than it has slots: the number that comes with the first datagram of a
// term was dropped, so a process did not notice that the coordinator had forgotten its jobs.
TEST_CASE("a job that was placed by the first datagram of a term is reported after the coordinator has forgotten it")
{
    Fixture fixture(1);
    auto& process = fixture.process;
    auto job = process.submit("a", std::chrono::seconds(3), std::chrono::seconds(6));
    auto submission = process.takeDatagram();
    // The process knows the next coordinator from its row in the store, before the first beacon.
    Coordinator successor(fixture.clock, 2, {}, {});
    successor.setServers(fixture.servers);
    successor.start({});
    submission.clear_host_number();
    submission.set_sender("first");
    successor.receive(submission, hostAddress);
    process.receive(successor.takeReplies(), hostAddress, 2);
    REQUIRE(process.placed.contains(job));
    auto number = process.identity.number();
    fixture.clock.advance(std::chrono::milliseconds(1600));
    successor.tick();
    REQUIRE(successor.hostCount() == 0);
    process.placement.tick();
    successor.receive(process.takeDatagram(), hostAddress);
    process.receive(successor.makeBeacons({ "self", false, false, 0 }), hostAddress, 2);
    REQUIRE(process.identity.number() > number);
    wire::Report report;
    process.placement.fillReport(report);
    CHECK(report.loads_size() == 1);
}

// Guards against callers of a fleet in which the coordinator runs the release before host numbers were bound to a
// process: this release does not read the number in that release's beacons, so it does not notice that its jobs were
// forgotten.
TEST_CASE("under a coordinator of the earlier release, a host that was forgotten submits its waiting jobs again"
    * doctest::should_fail())
{
    Fixture fixture(1);
    TestProcess process(fixture.clock, "second", fixture.servers);
    auto deliver = [&](std::vector<OutgoingDatagram> messages) {
        for (auto& message : messages) {
            // That release names the number in field 12 of the beacon only.
            auto number = message.datagram.host_number();
            message.datagram.clear_host_number();
            message.datagram.clear_receiver();
            if (message.datagram.has_beacon()) {
                auto* beacon = message.datagram.mutable_beacon();
                beacon->GetReflection()->MutableUnknownFields(beacon)->AddVarint(12, number);
            }
        }
        process.receive(messages, hostAddress, 1);
    };
    fixture.submitAtOtherHost();
    fixture.clock.advance(std::chrono::milliseconds(1600));
    fixture.coordinator.tick();
    fixture.submitAtOtherHost();
    fixture.coordinator.receive(process.takeDatagram(), hostAddress);
    deliver(fixture.coordinator.makeBeacons({ "self", false, false, 0 }));
    process.submit("a", std::chrono::seconds(3), std::chrono::seconds(6));
    fixture.coordinator.receive(process.takeDatagram(), hostAddress);
    deliver(fixture.coordinator.takeReplies());
    REQUIRE(fixture.coordinator.waitingJobs() == 1);
    // The host's messages are lost for 1.6 s, and the next one arrives before the host misses a beacon.
    for (int i = 0; i < 16; ++i) {
        fixture.clock.advance(std::chrono::milliseconds(100));
        fixture.coordinator.receive(fixture.otherHost(), otherAddress);
        deliver(fixture.coordinator.makeBeacons({ "self", false, false, 0 }));
        process.placement.tick();
        fixture.coordinator.tick();
    }
    REQUIRE(fixture.coordinator.waitingJobs() == 0);
    auto report = process.takeDatagram();
    report.clear_host_number();
    report.set_sender("second");
    fixture.coordinator.receive(report, hostAddress);
    deliver(fixture.coordinator.makeBeacons({ "self", false, false, 0 }));
    process.placement.tick();
    fixture.coordinator.receive(process.takeDatagram(), hostAddress);
    CHECK(fixture.coordinator.waitingJobs() == 1);
}

// Guards against a slot that stays taken until the deadline of a job that has ended: the host ignores the placement of
// a submission that arrives after its withdrawal, since the job runs by then, and reports no end to the coordinator.
TEST_CASE("a late submission of a job that was placed locally does not keep a slot")
{
    Fixture fixture(1);
    auto& process = fixture.process;
    auto job = process.submit("a", std::chrono::seconds(3), std::chrono::seconds(6));
    auto late = process.takeDatagram();
    REQUIRE(late.submits_size() == 1);
    fixture.clock.advance(std::chrono::milliseconds(260));
    process.placement.tick();
    REQUIRE(process.placed.contains(job));
    fixture.exchange();
    fixture.coordinator.receive(late, hostAddress);
    process.receive(fixture.coordinator.takeReplies(), hostAddress, 1);
    process.placement.reportEnd(job, balance::JobResult::Answered, std::chrono::milliseconds(100));
    for (int i = 0; i < 10; ++i) {
        fixture.clock.advance(std::chrono::milliseconds(100));
        fixture.exchange();
        fixture.beacons();
        fixture.coordinator.tick();
    }
    fixture.submitAtOtherHost();
    CHECK(fixture.coordinator.waitingJobs() == 0);
}
