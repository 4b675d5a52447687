#include "TestScheduler.h"

#include "core/Random.h"

#include <cmath>
#include <doctest/doctest.h>

using namespace sequoia;
using namespace sequoia::balance;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration step = milliseconds(10);
constexpr std::uint32_t slots = 6;

//! Servers that are three times slower for 400 ms in every 2 s, each at another time. Each response states the load as
//! `report` makes it.
struct Replay {
    std::optional<ServerReport> (*report)(unsigned running, std::uint32_t pace);
    std::size_t sent = 0;
    std::size_t sentToSlow = 0;
    std::size_t late = 0;
    double steadySlowness = 0; //!< mean, at the end

    struct Running {
        Job job;
        std::string server;
        Duration workLeft;
        TimePoint placedAt;
    };

    static std::uint32_t paceOf(const std::string& server, TimePoint now)
    {
        auto index = std::stoi(server.substr(1));
        auto phase = (now.time_since_epoch() + index * milliseconds(330)) % seconds(2);
        return phase < milliseconds(400) ? 300 : 100;
    }

    void run()
    {
        constexpr int serverCount = 12;
        TestScheduler test(serverCount);
        for (auto& [id, entry] : test.serverMap)
            entry.slots = slots;
        test.scheduler.setServers(test.serverMap, test.now);
        std::vector<Running> running;
        RandomEngine random(7);
        auto place = [&](const std::vector<SchedulingDecision>& decisions, const std::map<JobId, Job>& jobs) {
            for (const auto& decision : decisions) {
                const auto* placed = std::get_if<JobPlacement>(&decision);
                if (!placed)
                    continue;
                running.push_back({ jobs.at(placed->job), placed->server, milliseconds(250), test.now });
                ++this->sent;
                this->sentToSlow += paceOf(placed->server, test.now) > 100 ? 1 : 0;
            }
        };
        std::map<JobId, Job> jobs;
        for (auto end = test.now + seconds(20); test.now < end; test.now += step) {
            // About 55% of the capacity at the mean pace.
            for (int i = 0; i < 4; ++i) {
                if (random() % 100 >= 28)
                    continue;
                auto job = test.job(milliseconds(420), seconds(6));
                jobs[job.id] = job;
                place(test.submit(job), jobs);
            }
            std::map<std::string, unsigned> runningAt;
            for (const auto& entry : running)
                ++runningAt[entry.server];
            std::vector<Running> finished;
            for (auto& entry : running)
                entry.workLeft -= step * 100 / static_cast<int>(paceOf(entry.server, test.now));
            std::erase_if(running, [&](const Running& entry) {
                if (entry.workLeft > Duration::zero())
                    return false;
                finished.push_back(entry);
                return true;
            });
            for (const auto& entry : finished) {
                this->late += test.now > entry.job.target ? 1 : 0;
                place(test.scheduler.jobEnded(entry.job.id, JobResult::Answered, test.now - entry.placedAt, test.now,
                          this->report(runningAt[entry.server]--, paceOf(entry.server, test.now))),
                    jobs);
            }
            place(test.scheduler.tick(test.now), jobs);
        }
        for (const auto& [id, load] : test.scheduler.servers())
            this->steadySlowness
                += load.steadySlowness(test.scheduler.averageServiceTime("service"), test.now) / serverCount;
    }
};

Replay replay(std::optional<ServerReport> (*report)(unsigned, std::uint32_t))
{
    Replay result { report };
    result.run();
    CAPTURE(result.sent);
    REQUIRE(result.sent > 1000);
    return result;
}

std::optional<ServerReport> truth(unsigned running, std::uint32_t pace)
{
    return ServerReport { running, 0, slots, pace };
}

std::optional<ServerReport> nothing(unsigned, std::uint32_t)
{
    return std::nullopt;
}

//! A job that ends with a report.
void endWith(TestScheduler& test, const ServerReport& report, JobResult result = JobResult::Answered)
{
    auto job = test.job();
    REQUIRE(serverOf(test.submit(job)) == "s0");
    test.scheduler.jobEnded(job.id, result, serviceTime, test.now, report);
}

std::size_t freeSlots(TestScheduler& test)
{
    std::vector<Job> placed;
    for (auto job = test.job(); serverOf(test.submit(job)) == "s0"; job = test.job())
        placed.push_back(job);
    test.scheduler.withdraw({ 1, test.lastJob });
    for (const auto& job : placed)
        test.endJob(job.id);
    return placed.size();
}

}

// Load pattern: a fifth of the servers is three times slower for some 400 ms at a time.
TEST_CASE("with load reports jobs go to servers that are fast at the moment, and fewer are late")
{
    auto without = replay(nothing);
    auto with = replay(truth);
    auto slowShare
        = [](const Replay& run) { return static_cast<double>(run.sentToSlow) / static_cast<double>(run.sent); };
    CHECK(slowShare(with) < 0.6 * slowShare(without));
    // A job on a server that becomes slow later is late in any case.
    CHECK(static_cast<double>(with.late) < 0.8 * static_cast<double>(without.late));
}

// Guards against a decision that depends on reports of servers that do not state their pace.
TEST_CASE("reports without a pace change nothing about the choice of servers while no others use them")
{
    auto without = replay(nothing);
    auto three = replay([](unsigned running, std::uint32_t) -> std::optional<ServerReport> {
        return ServerReport { running, 0, slots, 0 };
    });
    CHECK(three.late == without.late);
    CHECK(three.sentToSlow == without.sentToSlow);
}

// Guards against a server that seems faster or slower than it is for what it states.
TEST_CASE("a pace that is always wrong does not change the measured speed of a server")
{
    auto without = replay(nothing);
    for (auto report : { +[](unsigned running, std::uint32_t) -> std::optional<ServerReport> {
                            return ServerReport { running, 0, slots, 10'000 };
                        },
             +[](unsigned running, std::uint32_t) -> std::optional<ServerReport> {
                 return ServerReport { running, 0, slots, 1 };
             } }) {
        auto lying = replay(report);
        CHECK(std::abs(lying.steadySlowness - without.steadySlowness) < 0.15);
        CHECK(static_cast<double>(lying.late) < 1.2 * static_cast<double>(without.late) + 10);
    }
}

TEST_CASE("a stated pace counts fully at first and decays towards the average")
{
    ServerPace pace;
    TimePoint now { seconds(1000) };
    CHECK(pace.relativeAt(now) == 1);
    for (int i = 0; i < 200; ++i, now += milliseconds(100))
        pace.record(i % 5 == 4 ? 300 : 100, now);
    now -= milliseconds(100);
    CHECK(pace.relativeAt(now) == doctest::Approx(3 / 1.4).epsilon(0.15));
    CHECK(pace.relativeAt(now + milliseconds(300)) == doctest::Approx(1 + (3 / 1.4 - 1) * 0.37).epsilon(0.15));
    CHECK(pace.relativeAt(now + seconds(2)) == doctest::Approx(1).epsilon(0.01));
}

// Guards against an average that follows the number of responses, which is larger while a server is fast.
TEST_CASE("the average pace is that over time, not over reports")
{
    ServerPace pace;
    TimePoint now { seconds(1000) };
    for (int period = 0; period < 20; ++period) {
        for (int i = 0; i < 40; ++i)
            pace.record(100, now += milliseconds(10));
        for (int i = 0; i < 4; ++i)
            pace.record(300, now += milliseconds(100));
    }
    CHECK(std::abs(pace.relativeAt(now) - 1.5) < 0.2);
    for (int i = 0; i < 40; ++i)
        pace.record(100, now += milliseconds(10));
    CHECK(std::abs(pace.relativeAt(now) - 0.5) < 0.1);
}

// Guards against jobs that wait at a server which others have filled, and against a server that is given up for what it
// stated long ago or falsely.
TEST_CASE("work of others that a server states counts for a moment, and leaves one job at a time")
{
    TestScheduler test(1);
    test.serverMap.at("s0").slots = slots;
    test.scheduler.setServers(test.serverMap, test.now);
    endWith(test, { 4, 0, slots, 0 });
    // The ended job is one of the four.
    CHECK(freeSlots(test) == slots - 3);
    endWith(test, { 2, 3, slots, 0 });
    CHECK(freeSlots(test) == slots - 4);
    test.now += milliseconds(199);
    CHECK(freeSlots(test) == slots - 4);
    test.now += milliseconds(1);
    CHECK(freeSlots(test) == slots);
    for (const auto& lie : { ServerReport { maxReportedRequests, maxReportedRequests, 1, maxPacePercent },
             ServerReport { UINT32_MAX, UINT32_MAX, UINT32_MAX, UINT32_MAX } }) {
        endWith(test, lie);
        CHECK(freeSlots(test) == 1);
        test.now += milliseconds(200);
        CHECK(freeSlots(test) == slots);
    }
    endWith(test, { 5, 5, 0, 0 });
    CHECK(freeSlots(test) == slots);
}

// Guards against keys that move, and callers that are refused, for a moment.
TEST_CASE("a pace of the moment does not change what a server is expected to finish in the long run")
{
    TestScheduler test(1);
    endWith(test, { 1, 0, slots, 100 });
    endWith(test, { 1, 0, slots, 300 });
    const auto& load = test.scheduler.servers().at("s0");
    CHECK(load.slowness(serviceTime, test.now) > 2);
    CHECK(load.steadySlowness(serviceTime, test.now) < 1.1);
    CHECK(load.jobsPerServiceTime(serviceTime, test.now) > 1.8);
    // Nor is a job overdue that started at this pace.
    test.submit(test.job());
    test.now += 10 * serviceTime / 3;
    CHECK(load.steadySlowness(serviceTime, test.now) < 1.1);
}

// Guards against service times that are measured too short, so that all estimates are.
TEST_CASE("the job that takes the last free slot of a server does not wait there")
{
    TestScheduler test(1);
    ServerLoad load(test.serverMap.at("s0"), test.now);
    for (std::uint64_t i = 1; i <= 3; ++i)
        load.jobPlaced({ 1, i }, test.now);
    test.now += milliseconds(100);
    load.jobEnded({ 1, 1 }, JobResult::Answered, milliseconds(100), serviceTime, test.now);
    test.now += milliseconds(50);
    CHECK(load.serviceTime({ 1, 2 }, milliseconds(150), test.now) == milliseconds(150));
    CHECK(load.serviceTime({ 1, 3 }, milliseconds(150), test.now) == milliseconds(50));
}

// Guards against a measured speed that follows the moments in which a server was measured.
TEST_CASE("the measured speed of a server is the same after its slow and after its fast moments")
{
    TestScheduler test(1);
    ServerLoad load(test.serverMap.at("s0"), test.now);
    double lowest = 100;
    double highest = 0;
    for (std::uint64_t i = 0; i < 300; ++i) {
        std::uint32_t pace = i % 20 < 16 ? 100 : 300;
        ServerReport report { 1, 0, slots, pace };
        load.recordReport(report, test.now);
        load.jobPlaced({ 1, i }, test.now);
        auto elapsed = milliseconds(pace);
        test.now += elapsed;
        load.recordReport(report, test.now);
        load.jobEnded({ 1, i }, JobResult::Answered, elapsed, milliseconds(140), test.now);
        if (i < 100)
            continue;
        lowest = std::min(lowest, load.steadySlowness(milliseconds(140), test.now));
        highest = std::max(highest, load.steadySlowness(milliseconds(140), test.now));
    }
    CHECK(highest / lowest < 1.25);
}
