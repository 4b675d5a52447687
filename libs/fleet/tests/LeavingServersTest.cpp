#include "fleet/LeavingServers.h"

#include <doctest/doctest.h>

using namespace sequoia;
using namespace sequoia::fleet;

namespace {

const TimePoint start { std::chrono::seconds(100) };

ServerMap listOf(std::int64_t startMillis, ServerState state = ServerState::Ready)
{
    ServerEntry entry;
    entry.instance = { "s1", startMillis };
    entry.state = state;
    return { { "s1", entry } };
}

}

// Guards against a server that has left being used again because an older list still shows it as ready.
TEST_CASE("a server that has announced that it leaves stays so until it starts anew")
{
    LeavingServers leaving;
    CHECK(leaving.add({ "s1", 5 }, start));
    CHECK_FALSE(leaving.add({ "s1", 5 }, start));
    auto list = listOf(5);
    leaving.apply(list, start + std::chrono::minutes(9));
    CHECK(list.at("s1").state == ServerState::Draining);
    auto restarted = listOf(6);
    leaving.apply(restarted, start + std::chrono::minutes(10));
    CHECK(restarted.at("s1").state == ServerState::Ready);
    CHECK_FALSE(leaving.contains({ "s1", 6 }));
}

TEST_CASE("a server that a list has shown as draining does not become ready again")
{
    LeavingServers leaving;
    auto draining = listOf(5, ServerState::Draining);
    leaving.apply(draining, start);
    auto stale = listOf(5);
    leaving.apply(stale, start);
    CHECK(stale.at("s1").state == ServerState::Draining);
}

TEST_CASE("a late notice about an earlier run does not concern the present one")
{
    LeavingServers leaving;
    CHECK(leaving.add({ "s1", 6 }, start));
    CHECK_FALSE(leaving.add({ "s1", 5 }, start));
    LeavingServers other;
    other.add({ "s1", 5 }, start);
    auto list = listOf(6);
    other.apply(list, start);
    CHECK(list.at("s1").state == ServerState::Ready);
}

TEST_CASE("a server that is no longer listed is forgotten after a time")
{
    LeavingServers leaving;
    leaving.add({ "s1", 5 }, start);
    ServerMap empty;
    leaving.apply(empty, start + std::chrono::minutes(9));
    CHECK(leaving.contains({ "s1", 5 }));
    leaving.apply(empty, start + std::chrono::minutes(11));
    CHECK_FALSE(leaving.contains({ "s1", 5 }));
}
