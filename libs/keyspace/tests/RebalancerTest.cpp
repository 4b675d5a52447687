#include "keyspace/Rebalancer.h"

#include "core/Random.h"

#include <cmath>
#include <doctest/doctest.h>

using namespace sequoia;
using namespace sequoia::keyspace;

namespace {

constexpr std::uint32_t serverCount = 8;
constexpr double capacityOfServer = 20;

fleet::ServerInstance serverAt(std::uint32_t index)
{
    return { "s" + std::to_string(index), 1 };
}

ServerCapacities equalCapacities()
{
    ServerCapacities capacities;
    for (std::uint32_t i = 0; i < serverCount; ++i)
        capacities[serverAt(i)] = capacityOfServer;
    return capacities;
}

KeyPlan equalPlan()
{
    KeyPlan plan;
    plan.service = "s";
    std::uint32_t width = fleet::keyCount / serverCount;
    for (std::uint32_t i = 0; i < serverCount; ++i)
        plan.ranges.push_back({ { static_cast<fleet::Key>(i * width), static_cast<fleet::Key>((i + 1) * width - 1) },
            serverAt(i), i + 1, std::nullopt, false });
    plan.lastFence = serverCount;
    return plan;
}

//! Changes the owners in the plan as if all moves had finished.
void applyMoves(KeyPlan& plan, const std::vector<KeyMove>& moves)
{
    for (const auto& move : moves) {
        std::vector<PlannedRange> next;
        for (const auto& range : plan.ranges) {
            if (range.keys.last < move.keys.first || range.keys.first > move.keys.last) {
                next.push_back(range);
                continue;
            }
            auto part = range;
            if (range.keys.first < move.keys.first) {
                part.keys = { range.keys.first, static_cast<fleet::Key>(move.keys.first - 1) };
                next.push_back(part);
            }
            part.keys = { std::max(range.keys.first, move.keys.first), std::min(range.keys.last, move.keys.last) };
            part.owner = move.target;
            next.push_back(part);
            if (range.keys.last > move.keys.last) {
                part = range;
                part.keys.first = static_cast<fleet::Key>(move.keys.last + 1);
                next.push_back(part);
            }
        }
        plan.ranges = std::move(next);
    }
}

double largestUtilization(const KeyPlan& plan, const KeyLoad& load)
{
    std::map<fleet::ServerInstance, double> sums;
    for (const auto& range : plan.ranges)
        sums[range.owner] += load.rateOf(range.keys);
    double largest = 0;
    for (const auto& [server, sum] : sums)
        largest = std::max(largest, sum / capacityOfServer);
    return largest;
}

//! Load after ten seconds of `perSecond` requests spread over the keys.
KeyLoad loadOn(fleet::KeyRange keys, int perSecond)
{
    KeyLoad load;
    TimePoint now { std::chrono::seconds(100) };
    load.updateAverages(now);
    for (int step = 0; step < 100; ++step) {
        for (int i = 0; i < perSecond / 10; ++i)
            load.recordRequest(static_cast<fleet::Key>(
                keys.first + static_cast<std::uint32_t>(step * perSecond / 10 + i) * 40503U % keys.size()));
        now += std::chrono::milliseconds(100);
        load.updateAverages(now);
    }
    return load;
}

}

// Load pattern: adjacent busy keys, all on one server. Guards against moves that leave the server overloaded.
TEST_CASE("adjacent busy keys are spread over the servers")
{
    auto plan = equalPlan();
    auto load = loadOn({ 100, 4000 }, 80);
    CHECK(largestUtilization(plan, load) > 3);
    for (int round = 0; round < 12; ++round)
        applyMoves(plan, chooseRebalancingMoves(plan, load, equalCapacities()));
    CHECK(largestUtilization(plan, load) < 1);
}

// Load pattern: even load with random arrivals. Guards against keys that move back and forth needlessly.
TEST_CASE("no keys move under an even load")
{
    auto load = loadOn({ 0, 65535 }, 80);
    CHECK(chooseRebalancingMoves(equalPlan(), load, equalCapacities()).empty());
}

// Load pattern: one key gets much of the traffic. Guards against a hot key that moves from server to server, and
// against other keys that stay on its overloaded server.
TEST_CASE("the other keys move away from the server of a hot key, and the hot key stays")
{
    auto plan = equalPlan();
    KeyLoad load;
    TimePoint now { std::chrono::seconds(100) };
    load.updateAverages(now);
    for (int step = 0; step < 100; ++step) {
        for (int i = 0; i < 3; ++i)
            load.recordRequest(5000);
        for (std::uint32_t i = 0; i < 5; ++i)
            load.recordRequest(
                static_cast<fleet::Key>((static_cast<std::uint32_t>(step) * 5 + i) * 131 % fleet::keyCount));
        now += std::chrono::milliseconds(100);
        load.updateAverages(now);
    }
    auto owner = plan.ranges[plan.rangeIndexOf(5000)].owner;
    for (int round = 0; round < 20; ++round)
        applyMoves(plan, chooseRebalancingMoves(plan, load, equalCapacities()));
    CHECK(plan.ranges[plan.rangeIndexOf(5000)].owner == owner);
    double loadOfServer = 0;
    for (const auto& range : plan.ranges) {
        if (range.owner == owner)
            loadOfServer += load.rateOf(range.keys);
    }
    CHECK(loadOfServer - load.rateOf({ 5000, 5000 }) < 3);
}

// Guards against an initial assignment that leaves a server without keys or keys without a server.
TEST_CASE("keys without an owner are assigned in about equal shares before there is traffic")
{
    KeyLoad load;
    auto plan = KeyPlan::unowned("s");
    auto moves = assignOwners(plan, { true }, load, equalCapacities());
    std::map<fleet::ServerInstance, std::uint32_t> shares;
    std::uint32_t covered = 0;
    for (const auto& move : moves) {
        shares[move.target] += move.keys.size();
        covered += move.keys.size();
    }
    CHECK(covered == fleet::keyCount);
    CHECK(shares.size() == serverCount);
    for (const auto& [server, share] : shares)
        CHECK(share < 2 * fleet::keyCount / serverCount);
}

// Load pattern: one key exceeds the capacity of its server. Guards against a hot key that stays on a slow server while
// a server of more than twice the speed is nearly idle.
TEST_CASE("a key that exceeds the capacity of its server moves to the fastest server, and no keys follow it")
{
    auto plan = equalPlan();
    auto capacities = equalCapacities();
    capacities[serverAt(5)] = 2.4 * capacityOfServer;
    auto load = loadOn({ 100, 100 }, 45);
    auto moves = chooseRebalancingMoves(plan, load, capacities);
    REQUIRE(!moves.empty());
    CHECK(moves[0].keys == fleet::KeyRange { 100, 100 });
    CHECK(moves[0].target == serverAt(5));
    applyMoves(plan, moves);
    // The key stays there, and no other keys move there.
    for (const auto& move : chooseRebalancingMoves(plan, load, capacities)) {
        CHECK(move.target != serverAt(5));
        CHECK(!move.keys.contains(100));
    }
}

TEST_CASE("a hot key does not move between servers of nearly the same speed, nor to one that already has a hot key")
{
    auto plan = equalPlan();
    auto capacities = equalCapacities();
    capacities[serverAt(5)] = 1.2 * capacityOfServer;
    for (const auto& move : chooseRebalancingMoves(plan, loadOn({ 100, 100 }, 45), capacities))
        CHECK(!move.keys.contains(100));
    capacities[serverAt(5)] = 2.4 * capacityOfServer;
    KeyLoad loadOfTwoKeys;
    TimePoint now { std::chrono::seconds(1) };
    loadOfTwoKeys.updateAverages(now);
    auto keyOfFast = plan.ranges[5].keys.first;
    for (int i = 0; i < 40; ++i) {
        now += std::chrono::milliseconds(250);
        for (int n = 0; n < 12; ++n) {
            loadOfTwoKeys.recordRequest(100);
            loadOfTwoKeys.recordRequest(keyOfFast);
        }
        loadOfTwoKeys.updateAverages(now);
    }
    for (const auto& move : chooseRebalancingMoves(plan, loadOfTwoKeys, capacities))
        CHECK(!move.keys.contains(100));
}

// Guards against moves because of random variation: during a move the key waits for its running requests.
TEST_CASE("a key that only slightly exceeds the capacity of its server does not move")
{
    auto plan = equalPlan();
    auto capacities = equalCapacities();
    capacities[serverAt(5)] = 2.4 * capacityOfServer;
    for (const auto& move : chooseRebalancingMoves(plan, loadOn({ 100, 100 }, 21), capacities))
        CHECK(!move.keys.contains(100));
}

namespace {

constexpr std::uint32_t fleetSize = 60;

//! Equal ranges and capacities of `fleetSize` servers.
KeyPlan planOfFleet()
{
    KeyPlan plan;
    plan.service = "s";
    std::uint32_t width = fleet::keyCount / fleetSize;
    for (std::uint32_t i = 0; i < fleetSize; ++i) {
        auto last = i + 1 == fleetSize ? fleet::keyCount - 1 : (i + 1) * width - 1;
        plan.ranges.push_back({ { static_cast<fleet::Key>(i * width), static_cast<fleet::Key>(last) }, serverAt(i),
            i + 1, std::nullopt, false });
    }
    plan.lastFence = fleetSize;
    return plan;
}

//! Four requests a second and server everywhere, then half a second with 480 requests a second on 200 adjacent keys.
KeyLoad loadWithSurge(bool detection)
{
    KeyLoad load;
    load.setSurgeDetection(detection);
    TimePoint now { std::chrono::seconds(1) };
    auto recordEvenly = [&load](std::uint32_t& next) {
        for (std::uint32_t i = 0; i < fleetSize; ++i)
            load.recordRequest(static_cast<fleet::Key>(next = (next + 40'503) % fleet::keyCount));
    };
    std::uint32_t next = 0;
    for (int quarter = 0; quarter < 40; ++quarter) {
        recordEvenly(next);
        load.updateAverages(now += std::chrono::milliseconds(250));
    }
    for (int quarter = 0; quarter < 2; ++quarter) {
        recordEvenly(next);
        for (std::uint32_t i = 0; i < 120; ++i)
            load.recordRequest(static_cast<fleet::Key>(20'000 + (i * 67) % 200));
        load.updateAverages(now += std::chrono::milliseconds(250));
    }
    return load;
}

ServerCapacities capacitiesOfFleet()
{
    ServerCapacities capacities;
    for (std::uint32_t i = 0; i < fleetSize; ++i)
        capacities[serverAt(i)] = capacityOfServer;
    return capacities;
}

}

// Guards against surges that are over before the averages show them.
TEST_CASE("a surge on adjacent keys shows within half a second")
{
    fleet::KeyRange surge { 20'000, 20'199 };
    CHECK(loadWithSurge(true).rateOf(surge) > 0.5 * 480);
    CHECK(loadWithSurge(false).rateOf(surge) < 0.25 * 480);
}

// Guards against random fluctuation that is taken for a surge and moves keys.
TEST_CASE("random arrivals do not look like a surge")
{
    KeyLoad load;
    KeyLoad reference;
    load.setSurgeDetection(true);
    RandomEngine random(7);
    TimePoint now { std::chrono::seconds(1) };
    int differences = 0;
    for (int quarter = 0; quarter < 120; ++quarter) {
        for (int i = 0; i < 500; ++i) {
            auto key = static_cast<fleet::Key>(random() % fleet::keyCount);
            load.recordRequest(key);
            reference.recordRequest(key);
        }
        now += std::chrono::milliseconds(250);
        load.updateAverages(now);
        reference.updateAverages(now);
        differences += std::abs(load.rateBelow(fleet::keyCount) - reference.rateBelow(fleet::keyCount)) > 1 ? 1 : 0;
    }
    CHECK(differences <= 30);
}

// Guards against a surge that stays on one server: its callers and those of the neighbouring keys are refused.
TEST_CASE("one decision spreads a surge on adjacent keys so far that each server can handle its requests")
{
    auto load = loadWithSurge(true);
    auto plan = planOfFleet();
    applyMoves(plan, chooseRebalancingMoves(plan, load, capacitiesOfFleet(), SurgePolicy::SpreadImmediately));
    CHECK(largestUtilization(plan, load) <= 1);

    auto gradual = planOfFleet();
    applyMoves(gradual, chooseRebalancingMoves(gradual, load, capacitiesOfFleet()));
    CHECK(largestUtilization(gradual, load) > 3);
}

// Guards against callers of other keys that are refused because they share the server of a hot key.
TEST_CASE("in a surge on a single key all other keys leave its server")
{
    KeyLoad load;
    load.setSurgeDetection(true);
    TimePoint now { std::chrono::seconds(1) };
    for (int quarter = 0; quarter < 12; ++quarter) {
        for (std::uint32_t i = 0; i < fleetSize; ++i)
            load.recordRequest(static_cast<fleet::Key>(i * (fleet::keyCount / fleetSize) + 7));
        for (int i = 0; i < 50; ++i)
            load.recordRequest(20'000);
        load.updateAverages(now += std::chrono::milliseconds(250));
    }
    auto plan = planOfFleet();
    auto owner = plan.ranges[plan.rangeIndexOf(20'000)].owner;
    applyMoves(plan, chooseRebalancingMoves(plan, load, capacitiesOfFleet(), SurgePolicy::SpreadImmediately));
    double otherLoad = 0;
    for (const auto& range : plan.ranges) {
        if (range.owner == owner && !range.keys.contains(20'000))
            otherLoad += load.rateOf(range.keys);
    }
    CHECK(plan.ranges[plan.rangeIndexOf(20'000)].owner == owner);
    CHECK(otherLoad < 1);
}
