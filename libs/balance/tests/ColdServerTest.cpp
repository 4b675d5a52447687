#include "TestScheduler.h"

#include <algorithm>
#include <deque>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace sequoia;
using namespace sequoia::balance;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration coldPeriod = seconds(6);
constexpr double rate = 4.4;
constexpr double factor = 1.5;
constexpr double slack = 8;
// Delivery delays to a server differ by this much.
constexpr int delayVariationMillis = 200;

const ColdLimitsByService limits { { "service", ColdLimits::within(rate, factor, slack, coldPeriod) } };

//! Most times within any second.
std::size_t mostInOneSecond(std::vector<TimePoint> times)
{
    std::sort(times.begin(), times.end());
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] > seconds(1))
            ++first;
        most = std::max(most, last - first + 1);
    }
    return most;
}

//! Callers that come all the time, more than the servers can take. Returns when requests were sent to the server.
std::vector<TimePoint> sendCrowd(TestScheduler& test, Duration time, const std::string& id = "s0")
{
    std::vector<TimePoint> sent;
    std::vector<Job> submitted;
    std::deque<std::pair<TimePoint, JobId>> running;
    auto record = [&](const std::vector<SchedulingDecision>& decisions) {
        for (const auto& decision : decisions) {
            if (const auto* placed = std::get_if<JobPlacement>(&decision)) {
                running.emplace_back(test.now + serviceTime, placed->job);
                if (placed->server == id)
                    sent.push_back(test.now);
            }
        }
    };
    for (auto end = test.now + time; test.now < end; test.now += milliseconds(10)) {
        for (int i = 0; i < 2; ++i) {
            submitted.push_back(test.job());
            record(test.submit(submitted.back()));
        }
        while (!running.empty() && running.front().first <= test.now) {
            auto job = running.front().second;
            running.pop_front();
            record(test.endJob(job));
        }
        record(test.scheduler.tick(test.now));
    }
    for (const auto& job : submitted)
        test.scheduler.withdraw(job.id);
    for (const auto& [at, job] : running)
        test.endJob(job);
    return sent;
}

void checkBound(const std::vector<TimePoint>& sent, Duration time)
{
    CHECK(static_cast<double>(mostInOneSecond(sent)) <= factor * rate + slack);
    // Below the bound the server is used.
    CHECK(static_cast<double>(sent.size()) >= 0.8 * rate * std::chrono::duration<double>(time).count());
}

//! A scheduler that has known its servers for long, with traffic.
class WarmScheduler : public TestScheduler {
public:
    explicit WarmScheduler(int servers, std::uint32_t slots = 6)
        : TestScheduler(servers)
    {
        for (auto& [id, entry] : this->serverMap)
            entry.slots = slots;
        this->applyServers();
        this->scheduler.setColdLimits(limits, false, this->now);
        sendCrowd(*this, seconds(2));
        this->now += seconds(10);
    }
    fleet::ServerEntry& entry() { return this->serverMap.at("s0"); }
    const ServerLoad& load() const { return this->scheduler.servers().at("s0"); }
    void applyServers() { this->scheduler.setServers(this->serverMap, this->now); }
};

}

// Load pattern: anything. Guards against requests that together exceed what a cold server survives.
TEST_CASE("in no second a limiter allows more than the burst and the rate, nor delivery delays make it more")
{
    CHECK(rc::check([] {
        double perSecond = *rc::gen::element(4.4, 6.6, 0.5);
        auto allowed = ColdLimits::within(perSecond, factor, slack, coldPeriod);
        TimePoint now { seconds(1000) };
        ColdRateLimiter limiter(allowed, TimePoint(), now);
        std::vector<TimePoint> sent;
        std::vector<TimePoint> arrived;
        std::vector<std::pair<double, TimePoint>> rejected; // by the server with 421
        auto gaps = *rc::gen::container<std::vector<int>>(
            300, rc::gen::weightedOneOf<int>({ { 6, rc::gen::inRange(0, 20) }, { 1, rc::gen::inRange(0, 4000) } }));
        for (int gap : gaps) {
            now += milliseconds(gap);
            while (!rejected.empty() && rejected.front().second <= now) {
                limiter.undoStart(rejected.front().first, now);
                rejected.erase(rejected.begin());
            }
            if (!limiter.mayStart(now))
                continue;
            auto taken = limiter.recordStart(now);
            if (gap % 5 == 4) {
                rejected.emplace_back(taken, now + milliseconds(30));
                continue;
            }
            sent.push_back(now);
            arrived.push_back(now + milliseconds(*rc::gen::inRange(0, delayVariationMillis)));
        }
        RC_ASSERT(static_cast<double>(mostInOneSecond(sent)) <= allowed.burst + allowed.requestsPerSecond + 1e-6);
        RC_ASSERT(static_cast<double>(mostInOneSecond(arrived)) <= factor * perSecond + slack);
    }));
}

TEST_CASE("the limits stay within bounds of any size, and a bound below one request still uses the server")
{
    for (double narrow : { 0.2, 1.0, 1.5, 10.0 }) {
        for (double spare : { 0.0, 0.5, 1.0, 8.0 }) {
            CAPTURE(narrow);
            CAPTURE(spare);
            auto allowed = ColdLimits::within(rate, narrow, spare, coldPeriod);
            CHECK(allowed.requestsPerSecond > 0);
            CHECK(allowed.requestsPerSecond <= rate);
            CHECK(allowed.burst >= 1);
            if (narrow * rate + spare > 1.1)
                CHECK(allowed.burst + 1.2 * allowed.requestsPerSecond <= narrow * rate + spare + 1e-9);
        }
    }
}

// Load pattern: a server starts while callers wait for it. Guards against the crash of such a server.
TEST_CASE("a burst of callers onto a server that has just started stays within its limit")
{
    for (bool entryStatesWarmup : { true, false }) {
        CAPTURE(entryStatesWarmup);
        WarmScheduler test(1);
        test.entry().instance.startMillis = 2;
        test.entry().warmupLeft = entryStatesWarmup ? coldPeriod : Duration::zero();
        test.applyServers();
        auto span = entryStatesWarmup ? coldPeriod : Duration(milliseconds(1900));
        checkBound(sendCrowd(test, span), span);
        CHECK(test.scheduler.jobsHeldByColdLimit() > 0);
        // It is warm afterwards.
        test.now += seconds(1);
        CHECK(sendCrowd(test, seconds(2)).size() > 2 * 15);
    }
}

// Guards against a whole fleet that is limited at its start, when nobody sends requests.
TEST_CASE("servers that start before any request are not limited without a warm-up in their entries")
{
    TestScheduler test(1);
    test.scheduler.setColdLimits(limits, false, test.now);
    test.now += seconds(5);
    auto added = test.serverMap.at("s0");
    added.instance.id = "s1";
    test.serverMap["s1"] = added;
    test.scheduler.setServers(test.serverMap, test.now);
    CHECK_FALSE(test.scheduler.servers().at("s1").isCold(test.now));
}

// Load pattern: a server crashes and is back before its new entry is read. Guards against its second crash.
TEST_CASE("a server that refused connections, or lost them, is limited when it is back, with its old entry")
{
    for (auto result : { JobResult::ConnectFailed, JobResult::Lost }) {
        CAPTURE(static_cast<int>(result));
        WarmScheduler test(1);
        for (int i = 0; i < 2; ++i) {
            auto job = test.job();
            test.submit(job);
            test.endJob(job.id, result);
            test.now += seconds(1);
        }
        CHECK(test.load().isCold(test.now));
        test.applyServers();
        checkBound(sendCrowd(test, seconds(4)), seconds(4));
    }
}

// Load pattern: an evacuation ends. Guards against the load of a data centre that returns at once.
TEST_CASE("a server that leaves an evacuation is limited at first")
{
    WarmScheduler test(1);
    test.entry().state = fleet::ServerState::Draining;
    test.applyServers();
    test.now += seconds(8);
    test.entry().state = fleet::ServerState::Ready;
    test.applyServers();
    checkBound(sendCrowd(test, seconds(5)), seconds(5));
}

// Load pattern: one host has lost its network, or full servers reset connections. Guards against a busy server that is
// limited to the rate of a cold one.
TEST_CASE("failed connections that one host reports while others get answers do not make a server cold")
{
    for (auto result : { JobResult::ConnectFailed, JobResult::Lost }) {
        WarmScheduler test(1);
        for (int i = 0; i < 10; ++i) {
            std::vector<Job> jobs;
            for (int k = 0; k < 3; ++k)
                jobs.push_back(test.job());
            for (const auto& job : jobs)
                test.submit(job);
            test.endJob(jobs[0].id);
            test.endJob(jobs[1].id, result);
            test.endJob(jobs[2].id, result);
            CHECK_FALSE(test.load().isCold(test.now));
            test.now += milliseconds(400);
            test.scheduler.tick(test.now);
        }
    }
}

// Guards against a cold server that stays unused since its requests were rejected for a key that it does not own yet.
TEST_CASE("a request that a cold server rejects as not its own returns its token")
{
    WarmScheduler test(1, 20);
    test.entry().warmupLeft = coldPeriod;
    test.applyServers();
    std::vector<Job> jobs;
    for (int i = 0; i < 8; ++i) {
        jobs.push_back(test.job());
        CHECK(serverOf(test.submit(jobs.back())) == "s0");
    }
    for (std::size_t i = 0; i < jobs.size(); ++i)
        test.endJob(jobs[i].id, i % 2 == 0 ? JobResult::WrongOwner : JobResult::Answered);
    test.now += milliseconds(25);
    for (int i = 0; i < 4; ++i)
        CHECK(serverOf(test.submit(test.job())) == "s0");
    CHECK(test.submit(test.job()).empty());
}

// Load pattern: a new coordinator takes over while servers are cold. Guards against requests that its predecessor has
// sent in the same second.
TEST_CASE("a new scheduler sends nothing to cold servers in its first window")
{
    TestScheduler test(1);
    test.serverMap.at("s0").slots = 6;
    test.serverMap.at("s0").warmupLeft = coldPeriod;
    test.scheduler.setColdLimits(limits, false, test.now);
    Scheduler successor({}, test.owners);
    successor.setColdLimits(limits, false, test.now);
    successor.setServers(test.serverMap, test.now);
    auto start = test.now;
    std::vector<TimePoint> sent;
    for (; test.now < start + seconds(4); test.now += milliseconds(10)) {
        auto decisions = successor.submit(test.job(seconds(1), seconds(2)), test.now);
        for (const auto& decision : decisions) {
            if (const auto* placed = std::get_if<JobPlacement>(&decision)) {
                sent.push_back(test.now);
                successor.jobEnded(placed->job, JobResult::Answered, serviceTime, test.now);
            }
        }
    }
    REQUIRE_FALSE(sent.empty());
    CHECK(sent.front() - start >= seconds(1));
    CHECK(sent.front() - start < milliseconds(1600));
    CHECK(static_cast<double>(mostInOneSecond(sent)) <= rate + 2);
}

// Guards against a burst after each gap in the list, and after each change of the figures.
TEST_CASE("a server that is missing from one list, and new limits, start no new burst")
{
    WarmScheduler test(2);
    test.entry().warmupLeft = coldPeriod;
    test.applyServers();
    auto sent = sendCrowd(test, milliseconds(300));
    auto others = test.serverMap;
    others.erase("s0");
    test.scheduler.setServers(others, test.now);
    test.applyServers();
    auto more = sendCrowd(test, milliseconds(300));
    sent.insert(sent.end(), more.begin(), more.end());
    auto changed = limits;
    changed.at("service").requestsPerSecond = 4;
    test.scheduler.setColdLimits(changed, false, test.now);
    more = sendCrowd(test, seconds(2));
    sent.insert(sent.end(), more.begin(), more.end());
    CHECK(static_cast<double>(mostInOneSecond(sent)) <= factor * rate + slack);
}

// Guards against a list that is not read for a while and keeps its servers cold.
TEST_CASE("the same entry again does not prolong the cold time")
{
    WarmScheduler test(1);
    test.entry().warmupLeft = seconds(2);
    for (int i = 0; i < 5; ++i) {
        test.applyServers();
        test.now += milliseconds(500);
    }
    CHECK_FALSE(test.load().isCold(test.now));
}

// Guards against hosts without a coordinator that each use the whole limit of a server.
TEST_CASE("a scheduler that avoids cold servers never uses one, for as long as it is marked")
{
    TestScheduler test(2);
    test.scheduler.setColdLimits(limits, true, test.now);
    test.serverMap.at("s0").cold = true;
    test.scheduler.setServers(test.serverMap, test.now);
    test.now += coldPeriod + seconds(5);
    CHECK(sendCrowd(test, seconds(1)).empty());
    // A server that is new in the list may be cold.
    auto added = test.serverMap.at("s0");
    added.instance.id = "s2";
    added.cold = false;
    test.serverMap["s2"] = added;
    test.scheduler.setServers(test.serverMap, test.now);
    CHECK(sendCrowd(test, seconds(1), "s2").empty());
    test.now += coldPeriod;
    CHECK_FALSE(sendCrowd(test, seconds(1), "s2").empty());
}

// Guards against callers that wait for a cold server until their deadlines, since its slots are counted as usual.
TEST_CASE("jobs that a cold server cannot run by their deadlines are refused on arrival")
{
    WarmScheduler test(1);
    test.entry().warmupLeft = coldPeriod;
    test.applyServers();
    std::size_t waiting = 0;
    for (int i = 0; i < 60; ++i)
        waiting += test.submit(test.job(milliseconds(600), seconds(2))).empty() ? 1 : 0;
    // Two seconds at 4.4 requests per second, some of which are used up by the service time.
    CHECK(waiting <= 10);
    CHECK(waiting >= 5);
}
