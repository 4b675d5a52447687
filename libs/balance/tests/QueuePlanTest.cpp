#include "balance/QueuePlan.h"
#include "balance/ReturnSchedule.h"
#include "balance/Scheduler.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <set>

using namespace sequoia;
using namespace sequoia::balance;
using std::chrono::milliseconds;

namespace {

const TimePoint now { std::chrono::seconds(1000) };

//! Work of 220 and 560 ms in classes 1 and 2.
WorkEstimates twoClasses()
{
    WorkEstimates work;
    for (int i = 0; i < 100; ++i) {
        work.record(1, milliseconds(220));
        work.record(2, milliseconds(560));
    }
    return work;
}

std::vector<Job> anyJobs()
{
    std::vector<Job> jobs(std::size_t(*rc::gen::inRange(0, 60)));
    for (std::size_t i = 0; i < jobs.size(); ++i) {
        jobs[i].id = { 1, i + 1 };
        jobs[i].priority = std::uint32_t(*rc::gen::inRange(0, 3));
        jobs[i].target = now + milliseconds(*rc::gen::inRange(-500, 3000));
        jobs[i].deadline = jobs[i].target + milliseconds(*rc::gen::inRange(0, 5000));
        jobs[i].workClass = std::uint32_t(*rc::gen::inRange(0, 4));
    }
    return jobs;
}

QueueCapacity anyCapacity()
{
    QueueCapacity capacity;
    capacity.slots = *rc::gen::inRange(0, 13) / 2.0;
    capacity.slowness = *rc::gen::inRange(1, 30) / 10.0;
    capacity.inFlight = *rc::gen::inRange(0, 8);
    capacity.onTimeLoad = *rc::gen::inRange(0, 20) / 10.0;
    capacity.urgentStarts = unsigned(*rc::gen::inRange(0, 10));
    capacity.unusableFor = milliseconds(*rc::gen::inRange(0, 300));
    return capacity;
}

std::vector<const Job*> pointersTo(const std::vector<Job>& jobs)
{
    std::vector<const Job*> pointers;
    for (const auto& job : jobs)
        pointers.push_back(&job);
    return pointers;
}

std::vector<JobId> idsOf(const QueuePlan& plan)
{
    std::vector<JobId> ids;
    for (const auto* job : plan.order)
        ids.push_back(job->id);
    for (const auto& eviction : plan.evictions)
        ids.push_back(eviction.job->id);
    return ids;
}

class OneOwner final : public OwnerLookup {
public:
    Owner ownerOf(std::string_view, fleet::Key) const override { return { Ownership::Owned, "s" }; }
    std::uint64_t ownerVersion() const override { return 1; }
};

//! A scheduler with one server of `slots` slots that owns all keys.
class OneServer {
public:
    explicit OneServer(std::uint32_t slots)
        : scheduler({}, this->owners)
    {
        fleet::ServerEntry entry;
        entry.instance = { "s", 1 };
        entry.service = "service";
        entry.slots = slots;
        this->scheduler.setServers({ { "s", entry } }, now);
        this->scheduler.setCostAwareServices({ "service" });
    }

    std::vector<SchedulingDecision> submit(std::uint32_t priority, Duration target, Duration deadline)
    {
        Job job;
        job.id = { 1, ++this->lastJob };
        job.service = "service";
        job.key = fleet::Key(1);
        job.priority = priority;
        job.target = now + target;
        job.deadline = now + deadline;
        return this->scheduler.submit(job, now);
    }

    OneOwner owners;
    Scheduler scheduler;
    std::uint64_t lastJob = 0;
};

}

// Guards against jobs that are lost by the plan or in it twice, and against plans that depend on the order of hosts.
TEST_CASE("a plan contains each job once, whatever the order in which the jobs are given")
{
    auto work = twoClasses();
    CHECK(rc::check([&] {
        auto jobs = anyJobs();
        auto capacity = anyCapacity();
        auto ids = idsOf(planQueue(pointersTo(jobs), work, capacity, now));
        auto reversed = pointersTo(jobs);
        std::reverse(reversed.begin(), reversed.end());
        RC_ASSERT(idsOf(planQueue(reversed, work, capacity, now)) == ids);
        RC_ASSERT(ids.size() == jobs.size());
        RC_ASSERT(std::set<JobId>(ids.begin(), ids.end()).size() == jobs.size());
    }));
}

// Guards against refusals of jobs that would be served by their deadlines.
TEST_CASE("a plan evicts only jobs that miss their deadlines by the estimate, and none while a slot is free")
{
    auto work = twoClasses();
    CHECK(rc::check([&] {
        auto jobs = anyJobs();
        auto capacity = anyCapacity();
        double jobTimes = (8.0 + double(jobs.size())) * capacity.slowness * 2 / std::max(1.0, capacity.slots);
        auto longest = capacity.unusableFor + Duration(std::int64_t(560e3 * jobTimes));
        for (const auto& eviction : planQueue(pointersTo(jobs), work, capacity, now).evictions) {
            const auto& job = *eviction.job;
            auto onServer = Duration(std::int64_t(work.mean(job.workClass).count() * capacity.slowness));
            RC_ASSERT(now + eviction.wait + onServer > job.deadline);
            RC_ASSERT(eviction.wait <= longest);
            if (capacity.inFlight + double(jobs.size()) <= capacity.slots)
                RC_ASSERT(eviction.wait == capacity.unusableFor);
        }
    }));
}

// Load pattern: overload by the urgent kind. Guards against starvation, and against late jobs before jobs on time.
TEST_CASE("jobs on time go first by priority, with an eighth of the starts for less urgent ones, then late jobs")
{
    auto work = twoClasses();
    std::vector<Job> jobs(19);
    for (std::size_t i = 0; i < jobs.size(); ++i) {
        bool isLate = i == 18;
        jobs[i].id = { 1, i + 1 };
        jobs[i].priority = i < 10 ? 2 : isLate ? 1 : 0;
        jobs[i].target = now + milliseconds(isLate ? 100 : 10000 + i);
        jobs[i].deadline = now + std::chrono::seconds(60);
        jobs[i].workClass = 1;
    }
    QueueCapacity capacity;
    capacity.slots = 6;
    auto plan = planQueue(pointersTo(jobs), work, capacity, now);
    REQUIRE(plan.order.size() == 19);
    for (std::size_t i = 0; i < 7; ++i)
        CHECK(plan.order[i]->priority == 0);
    CHECK(plan.order[7]->priority == 0);
    CHECK(plan.order[8]->priority == 2);
    CHECK(plan.order.back()->id.number == 19);
    CHECK(!plan.firstPassesUrgentOnes);
    // A late job uses up the turn of its kind.
    jobs.pop_back();
    CHECK(planQueue(pointersTo(jobs), work, capacity, now).order[7]->priority == 2);
    capacity.urgentStarts = 7;
    CHECK(planQueue(pointersTo(jobs), work, capacity, now).firstPassesUrgentOnes);
}

// Load pattern: burst. Guards against a job that is held although a better one has taken its last chance.
TEST_CASE("a waiting job that loses its place is refused in the step in which the better job arrives")
{
    OneServer server(1);
    for (int i = 0; i < 2; ++i)
        CHECK(std::holds_alternative<JobPlacement>(server.submit(0, milliseconds(600), milliseconds(2000)).at(0)));
    CHECK(server.submit(1, milliseconds(600), milliseconds(500)).empty());
    auto decisions = server.submit(0, milliseconds(600), milliseconds(2000));
    REQUIRE(decisions.size() == 1);
    const auto* refusal = std::get_if<JobRefusal>(&decisions[0]);
    REQUIRE(refusal);
    CHECK(refusal->job.number == 3);
    CHECK(refusal->reason == RefusalReason::Overloaded);
    CHECK(server.scheduler.isWaiting({ 1, 4 }));
    CHECK(std::holds_alternative<JobRefusal>(server.submit(0, milliseconds(600), milliseconds(200)).at(0)));
    // Operators tell refusals on arrival from those after a wait by these counts.
    auto counters = server.scheduler.queueCounters().at("service");
    CHECK(counters.refused == 2);
    CHECK(counters.refusedOnArrival == 1);
    CHECK(counters.placedLate == 0);
}

// Load pattern: full servers reject. A suspension of 30 ms was taken for the loss of all slots but one, which refused
// the queue of the server.
TEST_CASE("a server that rejects a job keeps its queue")
{
    OneServer server(6);
    for (int i = 0; i < 7; ++i)
        server.submit(0, milliseconds(600), milliseconds(2000));
    for (int i = 0; i < 20; ++i)
        CHECK(server.submit(0, milliseconds(600), milliseconds(2000)).empty());
    CHECK(server.scheduler.jobEnded({ 1, 1 }, JobResult::Rejected, {}, now).empty());
    CHECK(server.submit(0, milliseconds(600), milliseconds(2000)).empty());
    CHECK(server.scheduler.waitingJobs() == 21);
}

// Guards against the limit on what overdue jobs show, which applied only after the next list of servers, and stayed
// when a service had no competing priorities any more.
TEST_CASE("the limit on overdue jobs follows the set of planned services")
{
    auto slownessAfter = [](const std::vector<std::set<std::string, std::less<>>>& changes) {
        OneServer server(6);
        server.submit(0, milliseconds(600), std::chrono::seconds(60));
        for (const auto& services : changes)
            server.scheduler.setCostAwareServices(services);
        return server.scheduler.servers().at("s").slowness(milliseconds(150), now + std::chrono::seconds(9));
    };
    CHECK(slownessAfter({ { "service" } }) == doctest::Approx(2));
    CHECK(slownessAfter({ { "service" }, {} }) == doctest::Approx(20));
}

// Load pattern: many refusals at one moment. Guards against callers who return together, later than they can use.
TEST_CASE("returns are spread in order, within the time that callers have")
{
    CHECK(rc::check([] {
        ReturnSchedule schedule;
        auto latest = milliseconds(*rc::gen::inRange(100, 3000));
        auto spacing = milliseconds(*rc::gen::inRange(1, 100));
        Duration earliest = milliseconds(*rc::gen::inRange(100, 4000));
        std::optional<Duration> last;
        std::set<Duration> unreserved;
        for (std::uint64_t i = 0; i < 200; ++i) {
            auto wait = schedule.reserve(earliest, latest, spacing, i, now);
            RC_ASSERT(wait <= latest);
            RC_ASSERT(wait >= std::min<Duration>(earliest, latest));
            auto expected = last ? *last + spacing : earliest;
            if (expected <= latest) {
                RC_ASSERT(wait == expected);
                last = wait;
            } else
                unreserved.insert(wait);
        }
        // Without a place in the schedule callers still do not return at one moment, if they have time to spare.
        if (earliest < latest / 2 && unreserved.size() > 1)
            RC_ASSERT(*unreserved.rbegin() - *unreserved.begin() > latest / 4);
    }));
}

// Load pattern: short and long jobs on the same servers. Guards against one estimate for both.
TEST_CASE("work is estimated by class; unknown classes and classes beyond the bound use the service's average")
{
    auto work = twoClasses();
    CHECK(work.mean(1) == milliseconds(220));
    CHECK(work.mean(2) == milliseconds(560));
    CHECK(work.likely(2) >= work.mean(2));
    CHECK(work.mean(3) == work.mean(0));
    CHECK(work.mean(0) > milliseconds(300));
    CHECK(work.mean(0) < milliseconds(480));
    for (std::uint32_t workClass = 3; workClass < 1000; ++workClass) {
        for (int i = 0; i < 10; ++i)
            work.record(workClass, milliseconds(100));
    }
    CHECK(work.mean(256) == milliseconds(100));
    for (int i = 0; i < 10; ++i)
        work.record(2000, milliseconds(900));
    CHECK(work.mean(2000) == work.mean(0));
    CHECK(WorkEstimates().mean(1) == milliseconds(150));
}
