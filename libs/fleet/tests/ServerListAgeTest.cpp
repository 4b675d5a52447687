#include "fleet/ServerListAge.h"

#include <doctest/doctest.h>

using namespace sequoia;
using namespace sequoia::fleet;
using std::chrono::milliseconds;

// Guards against spans whose sum exceeds the bound, against hosts that read the store in normal operation although the
// coordinator does, and against more calls than before where the bound allows the earlier intervals.
TEST_CASE("the spans of the server list stay below the bound with a margin for a call, for each bound from 1 s to 5 s")
{
    constexpr Duration beaconInterval = milliseconds(150);
    for (Duration bound = milliseconds(1000); bound <= milliseconds(5000); bound += milliseconds(10)) {
        CAPTURE(toMillis(bound));
        auto times = serverListTimes(bound);
        CHECK(times.maxAge + times.checkInterval + bound / 5 <= bound);
        CHECK(times.readInterval + beaconInterval + milliseconds(100) <= times.maxAge);
        CHECK(times.maxUnconfirmed < times.maxAge);
        CHECK(times.maxUnconfirmed >= 3 * beaconInterval);
        if (bound < milliseconds(2000))
            continue;
        CHECK(times.readInterval == milliseconds(800));
        CHECK(times.checkInterval == milliseconds(200));
        CHECK(times.maxUnconfirmed == milliseconds(900));
    }
    CHECK(serverListTimes(Duration(1)).readInterval >= milliseconds(200));
    CHECK(serverListTimes(std::chrono::hours(1)).maxAge <= milliseconds(2400));
}

// Guards against a coordinator without the store that replaces newer lists, and against hosts that never use its list
// again, or that have no list at all.
TEST_CASE("a host uses the coordinator's list unless it is too old and its own is newer")
{
    auto times = serverListTimes(std::chrono::seconds(2));
    ServerListAge age(times);
    TimePoint start { std::chrono::seconds(100) };
    CHECK(age.acceptsCoordinatorList(start));
    CHECK_FALSE(age.isCurrent(start));
    age.recordAnnouncedAge(std::chrono::hours(30), start);
    CHECK(age.acceptsCoordinatorList(start));
    CHECK_FALSE(age.confirm(start));
    age.recordAnnouncedAge(milliseconds(700), start);
    CHECK(age.confirm(start));
    CHECK(age.isCurrent(start + milliseconds(699)));
    CHECK_FALSE(age.isCurrent(start + milliseconds(700)));
    // The coordinator's list gets old. While the host has none that is newer, it keeps that list.
    auto later = start + milliseconds(1500);
    age.recordAnnouncedAge(milliseconds(2200), later);
    CHECK(age.acceptsCoordinatorList(later));
    CHECK_FALSE(age.confirm(later));
    age.recordOwnRead(later - milliseconds(50));
    CHECK_FALSE(age.acceptsCoordinatorList(later));
    CHECK_FALSE(age.isCurrent(later));
    age.recordAnnouncedAge(milliseconds(20), later);
    CHECK(age.acceptsCoordinatorList(later));
    CHECK(age.confirm(later));
    CHECK(age.isCurrent(later));
    // Without beacons it is not current for long.
    CHECK_FALSE(age.isCurrent(later + times.maxUnconfirmed));
}
