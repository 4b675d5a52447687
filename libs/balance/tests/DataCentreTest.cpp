#include "balance/Scheduler.h"

#include <doctest/doctest.h>

using namespace sequoia;
using namespace sequoia::balance;

namespace {

class NoOwners final : public OwnerLookup {
public:
    Owner ownerOf(std::string_view, fleet::Key) const override { return {}; }
    std::uint64_t ownerVersion() const override { return 1; }
};

//! Places one job of data centre "near" with two free servers, of which the one in "far" is twice as fast.
std::string placeOne(Duration distance, Duration target)
{
    NoOwners owners;
    Scheduler scheduler({}, owners);
    TimePoint now { std::chrono::seconds(1) };
    fleet::ServerMap servers;
    for (const char* dataCentre : { "near", "far" }) {
        fleet::ServerEntry entry;
        entry.instance = { dataCentre, 1 };
        entry.service = "service";
        entry.dataCentre = dataCentre;
        entry.slots = 20;
        servers[dataCentre] = entry;
    }
    scheduler.setServers(servers, now);
    scheduler.setDataCentreDistance(distance);
    auto submit = [&](std::uint64_t number, Duration timeToTarget, const std::string& excluded) {
        Job job;
        job.id = { 1, number };
        job.service = "service";
        job.dataCentre = "near";
        job.target = now + timeToTarget;
        job.deadline = now + std::chrono::seconds(5);
        if (!excluded.empty())
            job.tried.push_back(excluded);
        auto decisions = scheduler.submit(job, now);
        REQUIRE(decisions.size() == 1);
        return std::get<JobPlacement>(decisions.front()).server;
    };
    // The servers' speeds are learned from answers.
    for (std::uint64_t i = 1; i <= 60; ++i) {
        bool far = i % 2 == 0;
        submit(i, std::chrono::seconds(1), far ? "near" : "far");
        auto elapsed = std::chrono::milliseconds(far ? 200 : 400);
        now += elapsed;
        scheduler.jobEnded({ 1, i }, JobResult::Answered, elapsed, now);
    }
    return submit(100, target, {});
}

}

// Guards against callers' data that crosses links between distant data centres although a near server answers in time.
TEST_CASE("a job stays in its distant data centre if a server there answers by the target")
{
    CHECK(placeOne(std::chrono::milliseconds(5), std::chrono::seconds(1)) == "near");
    CHECK(placeOne(std::chrono::milliseconds(1), std::chrono::seconds(1)) == "far");
}

// Guards against late answers for the sake of the shorter way.
TEST_CASE("a job leaves its data centre if no server there answers by the target")
{
    CHECK(placeOne(std::chrono::milliseconds(5), std::chrono::milliseconds(350)) == "far");
}
