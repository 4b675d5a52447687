#include "coordination/RoundTripTime.h"

#include <doctest/doctest.h>

using namespace sequoia;
using namespace sequoia::coordination;

// Guards against queueing at a busy coordinator that is taken for the distance of its data centre.
TEST_CASE("the shortest round trip of the last seconds counts")
{
    RoundTripTime time;
    TimePoint now { std::chrono::seconds(10) };
    CHECK(time.shortest(now) == Duration::zero());
    time.record(std::chrono::milliseconds(40), now);
    time.record(std::chrono::milliseconds(11), now);
    time.record(std::chrono::milliseconds(25), now);
    CHECK(time.shortest(now) == std::chrono::milliseconds(11));
    time.record(std::chrono::milliseconds(25), now += std::chrono::seconds(4));
    CHECK(time.shortest(now) == std::chrono::milliseconds(11));
    time.record(std::chrono::milliseconds(25), now += std::chrono::seconds(4));
    CHECK(time.shortest(now) == std::chrono::milliseconds(25));
    CHECK(time.shortest(now + std::chrono::seconds(10)) == Duration::zero());
    time.clear();
    CHECK(time.shortest(now) == Duration::zero());
}
