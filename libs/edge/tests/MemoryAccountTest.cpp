#include "edge/MemoryAccount.h"
#include "edge/CallerCeilings.h"

#include <doctest/doctest.h>

using namespace sequoia;
using namespace sequoia::edge;

namespace {

constexpr std::size_t kilobyte = 1000;

HeldMemory body(std::size_t bytes, std::uint64_t progress)
{
    HeldMemory held;
    held.of(MemoryUse::RequestBody) = bytes;
    held.progress = progress;
    held.waitsForCaller = true;
    return held;
}

TimePoint at(int millis)
{
    return TimePoint(std::chrono::milliseconds(millis));
}

}

// Guards against a sum that drifts from what the connections hold, so that the ceiling is never or always reached.
TEST_CASE("the account is the sum of what the connections hold, by use")
{
    MemoryAccount account;
    account.update(1, body(300 * kilobyte, 1), at(0));
    auto other = body(50 * kilobyte, 1);
    other.of(MemoryUse::Unsent) = 20 * kilobyte;
    account.update(2, other, at(0));
    account.update(1, body(100 * kilobyte, 2), at(10));
    CHECK(account.total() == 170 * kilobyte);
    CHECK(account.total(MemoryUse::RequestBody) == 150 * kilobyte);
    CHECK(account.total(MemoryUse::Unsent) == 20 * kilobyte);
    account.remove(2);
    account.remove(2);
    CHECK(account.total() == 100 * kilobyte);
    CHECK(account.pressure() == MemoryPressure::None);
}

// Guards against many bodies that grow at once: below the first mark all are read, above it only small ones are.
TEST_CASE("above the first mark large connections are held back, above the second new bodies are refused")
{
    MemoryAccount account;
    account.setCeiling(1000 * kilobyte);
    account.update(1, body(595 * kilobyte, 1), at(0));
    CHECK_FALSE(account.shouldHoldBack(1));
    CHECK(account.room() == 5 * kilobyte);
    account.update(2, body(10 * kilobyte, 1), at(0));
    CHECK(account.pressure() == MemoryPressure::HoldBack);
    CHECK(account.shouldHoldBack(1));
    CHECK_FALSE(account.shouldHoldBack(2));
    CHECK(account.room() == 0);
    account.update(3, body(200 * kilobyte, 1), at(0));
    CHECK(account.pressure() == MemoryPressure::RefuseBodies);
    account.update(3, body(400 * kilobyte, 1), at(0));
    CHECK(account.pressure() == MemoryPressure::RefuseRequests);
    account.setCeiling(0);
    CHECK(account.pressure() == MemoryPressure::None);
}

// Guards against bodies that stop just short of their end and keep their memory, and against ending those that go on.
TEST_CASE("under pressure those without progress are ended, the longest first, until the rest is below the first mark")
{
    MemoryAccount account;
    account.setCeiling(1000 * kilobyte);
    for (MemoryAccount::Owner owner = 1; owner <= 4; ++owner)
        account.update(owner, body(200 * kilobyte, 1), at(owner == 3 ? 0 : 100));
    CHECK(account.stalledOwners(at(900)).empty());
    account.update(4, body(200 * kilobyte, 2), at(1500));
    CHECK(account.stalledOwners(at(1600)) == std::vector<MemoryAccount::Owner> { 3 });
    account.update(3, body(250 * kilobyte, 2), at(1600));
    account.update(1, body(210 * kilobyte, 1), at(1600));
    CHECK(account.stalledOwners(at(1700)) == std::vector<MemoryAccount::Owner> { 1, 2 });
    account.remove(3);
    CHECK(account.stalledOwners(at(1700)) == std::vector<MemoryAccount::Owner> { 1 });
    account.remove(4);
    CHECK(account.stalledOwners(at(9000)).empty());
}

// Guards against ending a request that waits for its server, which may be slow.
TEST_CASE("a connection whose next step is not the caller's is not ended")
{
    MemoryAccount account;
    account.setCeiling(1000 * kilobyte);
    auto waiting = body(900 * kilobyte, 1);
    waiting.waitsForCaller = false;
    account.update(1, waiting, at(0));
    CHECK(account.stalledOwners(at(60'000)).empty());
    account.update(1, body(900 * kilobyte, 1), at(60'000));
    CHECK(account.stalledOwners(at(60'500)).empty());
    CHECK(account.stalledOwners(at(61'000)).size() == 1);
}

TEST_CASE("without limits of the host there are no ceilings")
{
    CHECK(CallerCeilings::ofHost(0, 0).memoryBytes == 0);
    CHECK(CallerCeilings::ofHost(0, 0).connections == 0);
    CHECK(CallerCeilings::ofHost(120, 3075).memoryBytes == 60'000'000);
    CHECK(CallerCeilings::ofHost(120, 3075).connections == 1230);
}
