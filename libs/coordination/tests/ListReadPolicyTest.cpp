#include "coordination/ListReadPolicy.h"

#include <doctest/doctest.h>
#include <map>

using namespace sequoia;
using namespace sequoia::coordination;

namespace {

constexpr TimePoint start { std::chrono::seconds(100) };

TimePoint at(int millis)
{
    return start + std::chrono::milliseconds(millis);
}

//! Returns how many milliseconds after its start a host first reads the list, with beacons that end at `lastBeacon`.
int firstRead(RandomEngine& random, std::uint32_t hosts, int lastBeacon, ListReadPolicy::ListState list = {})
{
    ListReadPolicy policy(random, start);
    policy.setStoredHostCount(hosts, at(20));
    for (int now = 20; now < 10'000; now += 10) {
        if (now % 150 == 0 && now <= lastBeacon)
            policy.onBeacon(1, hosts, at(now));
        if (policy.mustRead(list, at(now)))
            return now;
    }
    return 10'000;
}

}

// Guards against a change for the deployments that are not large.
TEST_CASE("a host of a hundred or fewer reads the list at once when it has no current one")
{
    RandomEngine random(1);
    CHECK(firstRead(random, 100, 10'000) == 20);
    CHECK(firstRead(random, 100, 10'000, { false, true, at(0) }) == 20);
    ListReadPolicy policy(random, start);
    CHECK_FALSE(policy.mustRead({}, at(10)));
    policy.setStoredHostCount(0, at(20));
    CHECK(policy.mustRead({}, at(20)));
    CHECK_FALSE(policy.mustRead({ true, true, {} }, at(30)));
}

TEST_CASE("a host that gets no answer about the coordinator's row reads the list")
{
    RandomEngine random(1);
    ListReadPolicy policy(random, start);
    CHECK_FALSE(policy.mustRead({}, at(299)));
    CHECK(policy.mustRead({}, at(300)));
}

// Guards against 300 hosts that each read 3,000 rows in one second.
TEST_CASE("new hosts of a large fleet wait for the coordinator's copy, and those that give up do so one by one")
{
    RandomEngine random(1);
    std::map<int, int> readsBySecond;
    for (int i = 0; i < 300; ++i)
        ++readsBySecond[firstRead(random, 300, 10'000) / 1000];
    CHECK(readsBySecond[0] == 0);
    CHECK(readsBySecond[1] < 150);
    CHECK(readsBySecond[4] > 0);
    CHECK(readsBySecond[10] == 0);
}

// Guards against hosts that wait for a coordinator that is lost.
TEST_CASE("a host of a large fleet reads the list soon after the last beacon, or if there is none")
{
    RandomEngine random(1);
    CHECK(firstRead(random, 300, 600) == 900);
    CHECK(firstRead(random, 300, 0) == 800);
}

// Guards against a list that becomes older than the bound while a host waits: only one that was read lately may wait,
// and only for the confirmation of a new coordinator.
TEST_CASE("a host with a list waits only after a change of the coordinator, and only with a recent list")
{
    RandomEngine random(1);
    CHECK(firstRead(random, 300, 10'000, { false, true, at(0) }) == 20);
    ListReadPolicy policy(random, start);
    policy.onBeacon(2, 300, at(2000));
    CHECK_FALSE(policy.mustRead({ false, true, at(1500) }, at(2100)));
    CHECK(policy.mustRead({ false, true, at(1000) }, at(2100)));
    policy.onBeacon(2, 300, at(2400));
    CHECK_FALSE(policy.mustRead({ false, true, at(1500) }, at(2499)));
    CHECK(policy.mustRead({ false, true, at(1500) }, at(2500)));
    CHECK(policy.mustRead({ false, true, at(2000) }, at(2600)));
}
