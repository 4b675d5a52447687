#include "fleet/Configuration.h"
#include "fleet/ServerDirectory.h"

#include <doctest/doctest.h>

using namespace sequoia;
using namespace sequoia::fleet;

namespace {

Route routeTo(const std::string& prefix, const std::string& service)
{
    Route route;
    route.name = prefix;
    route.host = "a.example";
    route.prefix = prefix;
    route.targets = { { service, 1 } };
    return route;
}

std::vector<ServerEntry> entries(std::initializer_list<const char*> ids)
{
    std::vector<ServerEntry> list;
    for (const auto* id : ids) {
        ServerEntry entry;
        entry.instance = { id, 1 };
        list.push_back(entry);
    }
    return list;
}

}

TEST_CASE("a request matches the route with the longest path prefix of its host")
{
    Configuration configuration;
    configuration.addRoute(routeTo("/a/", "one"));
    configuration.addRoute(routeTo("/a/b/", "two"));
    CHECK(configuration.match("a.example", "/a/b/c")->targets[0].service == "two");
    CHECK(configuration.match("a.example", "/a/bc")->targets[0].service == "one");
    CHECK(configuration.match("a.example", "/a/b")->targets[0].service == "one");
    CHECK(configuration.match("a.example", "/b/") == nullptr);
    CHECK(configuration.match("a.example", "a") == nullptr);
    CHECK(configuration.match("b.example", "/a/b/c") == nullptr);
}

// Guards against servers that are removed because the store was unavailable, and against stopped servers that are kept
// in the directory.
TEST_CASE("after an outage of the store, missing servers are kept for the grace period")
{
    TimePoint now { std::chrono::seconds(100) };
    ServerDirectory directory(std::chrono::seconds(2), std::chrono::seconds(2));
    CHECK(directory.update(entries({ "a", "b" }), now));
    now += std::chrono::seconds(5);
    CHECK_FALSE(directory.update(entries({ "a" }), now));
    CHECK(directory.servers().size() == 2);
    now += std::chrono::seconds(1);
    directory.update(entries({ "a" }), now);
    CHECK(directory.servers().contains("b"));
    now += std::chrono::milliseconds(1200);
    CHECK(directory.update(entries({ "a" }), now));
    CHECK_FALSE(directory.servers().contains("b"));
}

TEST_CASE("without an outage, a missing server is removed at once")
{
    TimePoint now { std::chrono::seconds(100) };
    ServerDirectory directory(std::chrono::seconds(2), std::chrono::seconds(2));
    directory.update(entries({ "a", "b" }), now);
    now += std::chrono::seconds(1);
    CHECK(directory.update(entries({ "a" }), now));
    CHECK(directory.servers().size() == 1);
    // A list that another host read counts as contact with the store, so the next update follows no outage.
    now += std::chrono::seconds(1);
    directory.replace(directory.servers(), now);
    now += std::chrono::milliseconds(1500);
    CHECK(directory.update(entries({}), now));
    CHECK(directory.servers().empty());
}

// Guards against competition that is seen where a route sends only a small part of its requests to the service, which
// would change how services without competing callers are scheduled.
TEST_CASE("callers compete for a service if routes of different priority send most of their requests there")
{
    auto route = [](const char* prefix, std::uint32_t priority, std::vector<WeightedService> targets) {
        Route result;
        result.host = "h";
        result.prefix = prefix;
        result.priority = priority;
        result.targets = std::move(targets);
        return result;
    };
    Configuration configuration;
    configuration.addRoute(route("/read/", 2, { { "a", 1 } }));
    configuration.addRoute(route("/upload/", 1, { { "b", 9 }, { "a", 1 } }));
    CHECK_FALSE(configuration.hasCompetingPriorities("a"));
    configuration.addRoute(route("/list/", 2, { { "a", 1 } }));
    CHECK_FALSE(configuration.hasCompetingPriorities("a"));
    configuration.addRoute(route("/order/", 1, { { "a", 1 } }));
    CHECK(configuration.hasCompetingPriorities("a"));
    CHECK_FALSE(configuration.hasCompetingPriorities("b"));
    CHECK_FALSE(configuration.hasCompetingPriorities("unknown"));
    CHECK(configuration.servicesWithCompetingPriorities() == std::set<std::string, std::less<>> { "a" });
}
