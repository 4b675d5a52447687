#include "coordination/PlacementClient.h"
#include "coordination/StateEncoding.h"
#include "core/ManualClock.h"

#include <algorithm>
#include <cstdint>
#include <doctest/doctest.h>

using namespace sequoia;
using namespace sequoia::coordination;

namespace {

//! Records at which depth of the stack the refusals are delivered.
class DepthObserver final : public edge::PlacementObserver {
public:
    void onPlaced(std::uint64_t, const edge::PlacementTarget&) override { ++this->placed; }
    void onRefused(std::uint64_t, const edge::PlacementRefusal&) override
    {
        ++this->refused;
        auto depth = reinterpret_cast<std::uintptr_t>(__builtin_frame_address(0));
        this->lowest = std::min(this->lowest, depth);
        this->highest = std::max(this->highest, depth);
    }

    std::size_t placed = 0;
    std::size_t refused = 0;
    std::uintptr_t lowest = UINTPTR_MAX;
    std::uintptr_t highest = 0;
};

}

// Guards against a process that ends because its stack is full: each refused local placement freed a slot, whose next
// job was decided inside the decision on the one before it.
TEST_CASE("refusing the local placements of many waiting jobs takes a bounded stack")
{
    constexpr unsigned jobs = 1000;
    ManualClock clock;
    DepthObserver observer;
    PlacementClient host(clock, {}, [] {});
    // The server that the plan names for service "a" started again under its id, for service "b".
    fleet::ServerEntry server;
    server.instance = { "server", 2 };
    server.service = "b";
    server.address = "10.1.0.1:80";
    server.slots = 4;
    fleet::ServerEntry other = server;
    other.instance = { "other", 1 };
    other.service = "a";
    host.setServers({ { "server", server }, { "other", other } });
    for (unsigned i = 1; i <= jobs; ++i) {
        balance::Job job;
        job.id.number = i;
        job.service = "a";
        job.key = 7;
        job.target = clock.now() + std::chrono::seconds(100);
        job.deadline = clock.now() + std::chrono::seconds(200);
        host.submit(job, observer);
    }
    auto waiting = host.waitingJobs();
    MESSAGE("waiting: " << waiting);
    auto plan = keyspace::KeyPlan::unowned("a");
    plan.ranges.front().owner = { "server", 1 };
    plan.ranges.front().fence = 1;
    REQUIRE(succeeded(host.plans().update("a", encodeOwners(plan))));
    host.tick();
    MESSAGE("refused: " << observer.refused << ", misplaced: " << host.misplacedJobs()
                        << ", bytes of stack: " << observer.highest - observer.lowest);
    REQUIRE(waiting == jobs);
    REQUIRE(host.misplacedJobs() > 1);
    CHECK(observer.highest - observer.lowest < 64 * 1024);
}
