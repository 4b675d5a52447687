#include "coordination/Coordinator.h"
#include "coordination/PlacementClient.h"
#include "core/ManualClock.h"

#include <doctest/doctest.h>

using namespace sequoia;
using namespace sequoia::coordination;

namespace {

class CountingObserver final : public edge::PlacementObserver {
public:
    void onPlaced(std::uint64_t, const edge::PlacementTarget&) override { ++this->placed; }
    void onRefused(std::uint64_t, const edge::PlacementRefusal&) override { }

    int placed = 0;
};

}

// Guards against slots that stay taken until the deadline after a takeover: hosts submit jobs before a beacon of the
// new coordinator has told them their number, and the ends of these jobs must reach it.
TEST_CASE("the end of a job that was placed before the host knew its number frees the slot at the coordinator")
{
    ManualClock clock;
    Coordinator coordinator(clock, 1, {}, {});
    PlacementClient host(clock, {}, [] {});
    CountingObserver observer;
    fleet::ServerMap servers;
    fleet::ServerEntry entry;
    entry.instance = { "s0", 1 };
    entry.service = "plain";
    entry.address = "10.0.0.1:80";
    entry.slots = 1;
    servers["s0"] = entry;
    coordinator.setServers(servers);
    coordinator.start({});
    host.setServers(servers);
    host.onCoordinatorContact(1);
    auto exchange = [&] {
        wire::Datagram datagram;
        if (host.takeMessages(datagram)) {
            datagram.set_sender("host");
            coordinator.receive(datagram, "127.0.0.1:1000");
        }
        for (const auto& reply : coordinator.takeReplies())
            host.receive(reply.datagram);
    };
    auto submit = [&](std::uint64_t number) {
        balance::Job job;
        job.id.number = number;
        job.service = "plain";
        job.target = clock.now() + std::chrono::seconds(1);
        job.deadline = clock.now() + std::chrono::seconds(3);
        host.submit(job, observer);
        exchange();
    };
    submit(1);
    REQUIRE(observer.placed == 1);
    for (const auto& beacon : coordinator.makeBeacons({}))
        host.setHostNumber(beacon.datagram.host_number());
    wire::Report report;
    host.fillReport(report);
    CHECK(report.loads_size() == 0);
    host.reportEnd(1, balance::JobResult::Answered, std::chrono::milliseconds(100));
    exchange();
    submit(2);
    CHECK(observer.placed == 2);
}
