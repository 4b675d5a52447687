#include "tenure/CoordinatorElection.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <functional>
#include <memory>

using namespace sequoia;
using namespace sequoia::tenure;

namespace {

constexpr Duration step = std::chrono::milliseconds(10);
constexpr Duration runTime = std::chrono::seconds(60);
constexpr std::uint64_t seeds = 40;

struct Faults {
    double replyLost = 0; //!< probability that a call gets no reply, and may be executed seconds later
    double delayed = 0; //!< probability that a call may be executed seconds later and gets no reply
    bool outages = false; //!< the store answers no host for seconds
    bool partitions = false; //!< one host cannot reach the store for seconds
    bool pauses = false; //!< one host is paused for over a second
};

//! Simulates hosts that share one row, with their calls to the store and the beacons between them.
class SimulatedHosts {
public:
    struct Host {
        std::string name;
        std::unique_ptr<CoordinatorElection> election;
        TimePoint pausedUntil {};
        TimePoint partitionedUntil {};
        TimePoint lastStoreAnswer {};
    };

    SimulatedHosts(std::uint64_t seed, Faults injected)
        : random(seed)
        , faults(injected)
    {
        for (int i = 0; i < 4; ++i) {
            auto host = std::make_unique<Host>();
            host->name = "host-" + std::to_string(i);
            host->election
                = std::make_unique<CoordinatorElection>(host->name, host->name, ElectionOptions {}, this->random);
            this->all.push_back(std::move(host));
        }
    }

    //! Returns the first violation, or an empty string.
    std::string run(Duration time)
    {
        auto end = this->now + time;
        while (this->now < end) {
            this->now += step;
            this->injectFaults();
            this->deliver();
            for (auto& host : this->all) {
                if (this->now >= host->pausedUntil)
                    this->execute(*host, host->election->tick(this->now));
            }
            this->sendBeacons();
            int changing = 0;
            for (const auto& host : this->all)
                changing += host->election->mayChangeOwners(this->now) ? 1 : 0;
            if (changing > 1)
                return "two hosts may change owners after " + std::to_string(toMillis(this->now) - 1'000'000) + " ms";
            this->coordinatedSteps += changing;
            ++this->steps;
        }
        return {};
    }

    void resign(Host& host) { this->execute(host, host.election->resign("test", this->now)); }
    void beginShutdown(Host& host) { this->execute(host, host.election->beginShutdown(this->now)); }
    //! Restarts all processes; the row stays.
    void restartAll(Duration downtime)
    {
        this->calls.clear();
        this->now += downtime;
        for (auto& host : this->all)
            host->election
                = std::make_unique<CoordinatorElection>(host->name + "'", host->name, ElectionOptions {}, this->random);
    }
    Host* coordinator()
    {
        auto found = std::find_if(this->all.begin(), this->all.end(),
            [this](const auto& host) { return host->election->isCoordinator() && this->now >= host->pausedUntil; });
        return found == this->all.end() ? nullptr : found->get();
    }
    //! Runs for the time and returns the longest period without a coordinator.
    Duration longestGap(Duration time)
    {
        Duration longest {};
        auto end = this->now + time;
        for (auto lastCoordinated = this->now; this->now < end;) {
            CHECK(this->run(step) == "");
            if (this->coordinator())
                lastCoordinated = this->now;
            longest = std::max(longest, this->now - lastCoordinated);
        }
        return longest;
    }
    TimePoint time() const { return this->now; }
    double coordinatedShare() const
    {
        return static_cast<double>(this->coordinatedSteps) / static_cast<double>(this->steps);
    }
    std::size_t plansStored() const { return this->plans.size(); }

    std::vector<std::unique_ptr<Host>> all;

private:
    struct Call {
        TimePoint executesAt;
        TimePoint repliesAt;
        std::function<std::function<void()>()> effect;
        std::function<void()> reply;
        bool lost = false;
    };

    //! The store's clock has another origin than the hosts' clocks and runs a little faster.
    std::int64_t storeMillis() const { return 5'000'000 + toMillis(this->now) * 101 / 100; }
    bool chance(double probability) { return std::uniform_real_distribution<double>(0, 1)(this->random) < probability; }

    void injectFaults()
    {
        auto any
            = [&]() -> Host& { return *this->all[std::uniform_int_distribution<std::size_t>(0, 3)(this->random)]; };
        if (this->faults.outages && this->chance(0.0005))
            this->storeDownUntil = this->now + std::chrono::seconds(4);
        if (this->faults.partitions && this->chance(0.002))
            any().partitionedUntil = this->now + std::chrono::seconds(3);
        if (this->faults.pauses && this->chance(0.002))
            any().pausedUntil = this->now + std::chrono::milliseconds(1500);
    }

    void execute(Host& host, const std::vector<ElectionOutput>& outputs)
    {
        for (const auto& output : outputs) {
            if (std::holds_alternative<ReadRow>(output))
                this->call(
                    host,
                    [this, &host] {
                        host.lastStoreAnswer = this->now;
                        return
                            [this, &host, version = this->version, value = this->value, millis = this->storeMillis()] {
                                this->execute(host, host.election->rowRead(version, value, millis, this->now));
                            };
                    },
                    [this, &host] { host.election->readFailed(); });
            else if (const auto* write = std::get_if<WriteRow>(&output))
                this->write(host, *write);
            else if (const auto* became = std::get_if<BecameCoordinator>(&output))
                host.election->queuePlan("s", std::to_string(became->term));
        }
    }

    void write(Host& host, const WriteRow& write)
    {
        this->call(
            host,
            [this, &host, write] {
                auto outcome = WriteOutcome::Conflict;
                if (write.expectedVersion == this->version) {
                    this->version += 1;
                    this->value = write.value;
                    for (const auto& plan : write.plans)
                        this->plans.push_back(plan.second);
                    outcome = WriteOutcome::Written;
                }
                return [this, &host, number = write.number, outcome, at = this->version, millis = this->storeMillis()] {
                    this->execute(host, host.election->writeDone(number, outcome, at, millis, this->now));
                };
            },
            [this, &host, number = write.number] {
                this->execute(host, host.election->writeDone(number, WriteOutcome::Unknown, 0, {}, this->now));
            });
    }

    void call(Host& host, std::function<std::function<void()>()> effect, std::function<void()> unknown)
    {
        bool unreachable = this->now < this->storeDownUntil || this->now < host.partitionedUntil;
        bool executesLate = this->chance(this->faults.delayed);
        bool replyLost = executesLate || this->chance(this->faults.replyLost);
        Call call { this->now + std::chrono::milliseconds(10), this->now + std::chrono::milliseconds(20),
            std::move(effect), {}, false };
        if (unreachable) {
            call.effect = [unknown] { return unknown; };
            call.repliesAt = this->now + std::chrono::milliseconds(1200);
        } else if (replyLost) {
            if (executesLate)
                call.executesAt = this->now + std::chrono::seconds(2);
            call.lost = true;
            this->calls.push_back(call);
            Call timeout { this->now, this->now + std::chrono::milliseconds(1200), [unknown] { return unknown; }, {},
                false };
            this->calls.push_back(timeout);
            return;
        }
        this->calls.push_back(std::move(call));
    }

    void deliver()
    {
        for (std::size_t i = 0; i < this->calls.size();) {
            auto& call = this->calls[i];
            if (call.effect && this->now >= call.executesAt) {
                call.reply = call.effect();
                call.effect = nullptr;
            }
            if (call.effect || this->now < call.repliesAt) {
                ++i;
                continue;
            }
            auto reply = call.lost ? std::function<void()>() : call.reply;
            this->calls.erase(this->calls.begin() + static_cast<std::ptrdiff_t>(i));
            if (reply)
                reply();
        }
    }

    void sendBeacons()
    {
        if (toMillis(this->now) % 150 != 0)
            return;
        for (auto& from : this->all) {
            if (!from->election->isCoordinator() || this->now < from->pausedUntil)
                continue;
            unsigned rank = 0;
            for (auto& to : this->all) {
                if (to == from || this->now < to->pausedUntil)
                    continue;
                from->election->peerReported(this->now);
                ++rank;
                this->execute(*to,
                    to->election->beaconReceived(
                        { from->election->term(), from->name, from->election->isResigning(), rank <= 2 ? rank : 0,
                            from->election->suspectsStoreOutage(this->now) },
                        this->now));
                // The host reports that it has reached the store lately.
                if (this->now - to->lastStoreAnswer < std::chrono::seconds(1) && from->election->isCoordinator())
                    this->execute(*from, from->election->peerReachedStore(this->now));
            }
        }
    }

    RandomEngine random;
    Faults faults;
    TimePoint now { std::chrono::seconds(1000) };
    TimePoint storeDownUntil {};
    RowVersion version = 0;
    std::string value;
    std::vector<std::string> plans;
    std::vector<Call> calls;
    std::int64_t coordinatedSteps = 0;
    std::int64_t steps = 0;
};

void runSeeds(Faults faults, double minCoordinatedShare)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        SimulatedHosts hosts(seed, faults);
        CHECK(hosts.run(runTime) == "");
        CHECK(hosts.coordinatedShare() > minCoordinatedShare);
    }
}

}

TEST_CASE("without faults one host becomes coordinator at once and stays it")
{
    SimulatedHosts hosts(1, {});
    CHECK(hosts.run(std::chrono::seconds(1)) == "");
    auto coordinators = std::count_if(
        hosts.all.begin(), hosts.all.end(), [](const auto& host) { return host->election->isCoordinator(); });
    CHECK(coordinators == 1);
    CHECK(hosts.run(runTime) == "");
    CHECK(hosts.coordinatedShare() > 0.98);
    CHECK(hosts.plansStored() == 1);
}

// The next five tests guard against two hosts that change owners at once, and against a lack of any coordinator.
TEST_CASE("at most one host may change owners while replies of the store are lost")
{
    runSeeds({ 0.2, 0, false, false, false }, 0.4);
}

TEST_CASE("at most one host may change owners while writes are executed late")
{
    runSeeds({ 0, 0.2, false, false, false }, 0.4);
}

TEST_CASE("at most one host may change owners during store outages and partitions from the store")
{
    runSeeds({ 0, 0, true, true, false }, 0.4);
}

TEST_CASE("at most one host may change owners while hosts are paused and resume")
{
    runSeeds({ 0, 0, false, false, true }, 0.4);
}

TEST_CASE("at most one host may change owners under all faults at once")
{
    runSeeds({ 0.1, 0.1, true, true, true }, 0.2);
}

// Guards against seconds without a coordinator at each planned stop.
TEST_CASE("a coordinator that resigns is replaced without waiting for the beacon timeout")
{
    SimulatedHosts hosts(1, {});
    hosts.run(std::chrono::seconds(2));
    auto* coordinator = hosts.coordinator();
    REQUIRE(coordinator);
    auto term = coordinator->election->term();
    hosts.resign(*coordinator);
    CHECK(hosts.longestGap(std::chrono::milliseconds(900)) == Duration::zero());
    auto next = std::find_if(hosts.all.begin(), hosts.all.end(),
        [&](const auto& host) { return host->election->isCoordinator() && host->election->term() > term; });
    CHECK(next != hosts.all.end());
}

// Guards against a new coordinator and the one that resigned changing owners in the same second.
TEST_CASE("a coordinator that resigns no longer changes owners or renews leases")
{
    SimulatedHosts hosts(1, {});
    hosts.run(std::chrono::seconds(2));
    auto* coordinator = hosts.coordinator();
    REQUIRE(coordinator);
    hosts.resign(*coordinator);
    CHECK(coordinator->election->isCoordinator());
    CHECK(!coordinator->election->mayChangeOwners(hosts.time()));
    CHECK(!coordinator->election->mayRenewGrants(hosts.time()));
}

// Guards against three seconds in which hosts place requests without a coordinator, when only the coordinator's host
// cannot reach the store.
TEST_CASE("a coordinator that alone cannot reach the store hands over without a gap")
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        SimulatedHosts hosts(seed, {});
        hosts.run(std::chrono::seconds(3));
        auto* coordinator = hosts.coordinator();
        REQUIRE(coordinator);
        coordinator->partitionedUntil = hosts.time() + std::chrono::seconds(20);
        CHECK(hosts.longestGap(std::chrono::seconds(3)) == Duration::zero());
        REQUIRE(hosts.coordinator());
        CHECK(hosts.coordinator() != coordinator);
    }
}

// Guards against seconds without a coordinator after its failure: a standby learns the age of the row from the store's
// clock.
TEST_CASE("a failed coordinator is replaced within 1.6 s")
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        SimulatedHosts hosts(seed, {});
        hosts.run(std::chrono::seconds(3));
        auto* coordinator = hosts.coordinator();
        REQUIRE(coordinator);
        coordinator->pausedUntil = hosts.time() + std::chrono::minutes(1);
        CHECK(hosts.longestGap(std::chrono::seconds(4)) <= std::chrono::milliseconds(1600));
    }
}

// Guards against waiting for the takeover timeout of a coordinator that went down together with all other hosts.
TEST_CASE("after a restart of all hosts one becomes coordinator within 300 ms")
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        SimulatedHosts hosts(seed, {});
        hosts.run(std::chrono::seconds(3));
        hosts.restartAll(std::chrono::milliseconds(1400));
        CHECK(hosts.longestGap(std::chrono::seconds(2)) <= std::chrono::milliseconds(300));
    }
}

// Guards against two owners: a restarted backend server has lost its fences, and accepts an order of a coordinator that
// was paused and replaced in the meantime (fault soak, seeds 102 and 103).
TEST_CASE("a coordinator that was paused may change owners and renew leases only after the store has answered")
{
    SimulatedHosts hosts(1, {});
    hosts.run(std::chrono::seconds(2));
    auto* coordinator = hosts.coordinator();
    REQUIRE(coordinator);
    CHECK(coordinator->election->mayRenewGrants(hosts.time()));
    auto resumedAt = hosts.time() + std::chrono::seconds(4);
    CHECK(!coordinator->election->mayRenewGrants(resumedAt));
    CHECK(!coordinator->election->mayChangeOwners(resumedAt));
    // A message can arrive before the first tick.
    coordinator->election->peerReported(resumedAt);
    coordinator->election->tick(resumedAt);
    CHECK(!coordinator->election->isCoordinator());
}

TEST_CASE("a running coordinator keeps renewing leases while no host reaches the store")
{
    SimulatedHosts hosts(1, {});
    hosts.run(std::chrono::seconds(2));
    auto* coordinator = hosts.coordinator();
    REQUIRE(coordinator);
    auto now = hosts.time();
    for (auto end = now + std::chrono::seconds(20); now < end; now += std::chrono::milliseconds(50)) {
        coordinator->election->peerReported(now);
        coordinator->election->tick(now);
        REQUIRE(coordinator->election->mayRenewGrants(now));
    }
    CHECK(!coordinator->election->mayChangeOwners(now));
}

// Guards against two owners: a coordinator in the smaller part of a partition must not keep renewing leases.
TEST_CASE("a coordinator that reaches neither the store nor most of its hosts steps down")
{
    SimulatedHosts hosts(1, {});
    hosts.run(std::chrono::seconds(2));
    auto* coordinator = hosts.coordinator();
    REQUIRE(coordinator);
    coordinator->election->setReportingHosts(4);
    hosts.run(std::chrono::seconds(1));
    coordinator->partitionedUntil = hosts.time() + std::chrono::seconds(20);
    coordinator->election->setReportingHosts(1);
    auto now = hosts.time();
    std::vector<ElectionOutput> outputs;
    for (auto end = now + std::chrono::seconds(2); now < end && coordinator->election->isCoordinator(); now += step) {
        coordinator->election->peerReported(now);
        outputs = coordinator->election->tick(now);
    }
    CHECK(!coordinator->election->isCoordinator());
}

// Guards against seconds without a coordinator, and keys without an owner after them, when the coordinator's host is
// stopped during a store outage (benchmark hinagiku-gw-grown trouble-3: 0.432 instead of 0.56).
TEST_CASE("a coordinator whose host stops during a store outage keeps its role until the store is back")
{
    SimulatedHosts hosts(1, {});
    hosts.run(std::chrono::seconds(2));
    auto* coordinator = hosts.coordinator();
    REQUIRE(coordinator);
    for (auto& host : hosts.all)
        host->partitionedUntil = hosts.time() + std::chrono::seconds(5);
    hosts.run(std::chrono::milliseconds(1500));
    hosts.beginShutdown(*coordinator);
    CHECK(hosts.run(std::chrono::seconds(3)) == "");
    CHECK(coordinator->election->isCoordinator());
    CHECK(coordinator->election->mayRenewGrants(hosts.time()));
    CHECK(hosts.longestGap(std::chrono::seconds(4)) == Duration::zero());
    REQUIRE(hosts.coordinator());
    CHECK(hosts.coordinator() != coordinator);
}

// Guards against new hosts that take a large fleet for a small one during a takeover and all read the list of servers.
TEST_CASE("the row names the number of hosts, also when a new coordinator has not heard of them yet")
{
    RandomEngine random(1);
    CoordinatorElection election("self", "10.0.0.1:1", {}, random);
    TimePoint now { std::chrono::seconds(100) };
    election.tick(now);
    wire::Tenure row;
    row.set_term(1);
    row.set_resigned(true);
    row.set_hosts(300);
    election.rowRead(5, row.SerializeAsString(), std::nullopt, now);
    CHECK(election.storedHostCount() == 300);
    std::optional<WriteRow> takeover;
    for (int i = 0; i < 100 && !takeover; ++i) {
        now += std::chrono::milliseconds(20);
        for (const auto& output : election.tick(now)) {
            if (const auto* write = std::get_if<WriteRow>(&output))
                takeover = *write;
        }
    }
    REQUIRE(takeover);
    wire::Tenure written;
    REQUIRE(written.ParseFromString(takeover->value));
    CHECK(written.hosts() == 300);
}
