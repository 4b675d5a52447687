#include "fleet/Evacuations.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace sequoia::fleet;

namespace {

using Names = std::set<std::string>;

ServerMap serversIn(std::initializer_list<const char*> dataCentres)
{
    ServerMap map;
    for (const auto* dataCentre : dataCentres) {
        ServerEntry entry;
        entry.instance = { std::string("s-") + dataCentre, 1 };
        entry.service = "service";
        entry.dataCentre = dataCentre;
        map[entry.instance.id] = entry;
    }
    return map;
}

}

// Guards against a host that returns to an earlier state because it hears from another host that is behind.
TEST_CASE("the newest version of the evacuations wins and an older one never comes back")
{
    Evacuations evacuations;
    CHECK(evacuations.update({ 10, { "a" } }));
    CHECK_FALSE(evacuations.update({ 9, {} }));
    CHECK_FALSE(evacuations.update({ 12, { "a" } }));
    CHECK_FALSE(evacuations.update({ 11, { "b" } }));
    CHECK(evacuations.state() == EvacuationState { 12, { "a" } });
    CHECK(evacuations.update({ 13, {} }));
    CHECK_FALSE(evacuations.update({ 12, { "a" } }));
    CHECK_FALSE(evacuations.changeRows({ { "a", false, 13 } }));
    CHECK_FALSE(evacuations.replaceRows({ { "a", false, 10 } }, 12));
    CHECK(evacuations.state() == EvacuationState { 13, {} });
}

// Guards against a change that is lost because another one in the same answer of the store has a higher version.
TEST_CASE("changes of two data centres in one answer both count, in any order")
{
    for (bool newerFirst : { false, true }) {
        Evacuations evacuations;
        evacuations.replaceRows({ { "c", false, 4 } }, 9);
        std::vector<EvacuationRow> rows { { "a", false, 10 }, { "b", false, 11 }, { "c", true, 11 } };
        if (newerFirst)
            std::reverse(rows.begin(), rows.end());
        CHECK(evacuations.changeRows(rows));
        CHECK(evacuations.state() == EvacuationState { 11, { "a", "b" } });
        CHECK(evacuations.changeRows({ { "a", true, 15 } }));
        CHECK(evacuations.state() == EvacuationState { 15, { "b" } });
    }
}

// Guards against a withdrawal that is missed after the store has dropped its history, and against one that is undone
// by hosts which know the same data centres under a lower version.
TEST_CASE("a complete table shows withdrawals as missing rows, and repeated evacuations by their versions")
{
    Evacuations evacuations;
    CHECK(evacuations.replaceRows({}, 5));
    CHECK(evacuations.state() == EvacuationState { 5, {} });
    CHECK(evacuations.replaceRows({ { "a", false, 7 }, { "b", false, 8 } }, 9));
    CHECK(evacuations.replaceRows({ { "b", false, 8 } }, 20));
    CHECK(evacuations.state() == EvacuationState { 20, { "b" } });
    // Other rows of the store change all the time, which must not make a new state.
    CHECK_FALSE(evacuations.replaceRows({ { "b", false, 8 } }, 30));
    CHECK(evacuations.state().version == 20);
    // Withdrawn at 31, which this host missed and another host knows, and requested again.
    CHECK(evacuations.replaceRows({ { "b", false, 33 } }, 34));
    CHECK(evacuations.state() == EvacuationState { 33, { "b" } });
}

TEST_CASE("only servers of evacuated data centres are marked, and a name that is no data centre marks none")
{
    Evacuations evacuations;
    evacuations.update({ 3, { "a", "b", "no such place" } });
    auto servers = serversIn({ "a", "b", "c", "" });
    evacuations.apply(servers);
    CHECK(servers.at("s-a").state == ServerState::Draining);
    CHECK(servers.at("s-b").state == ServerState::Draining);
    CHECK(servers.at("s-c").state == ServerState::Ready);
    CHECK(servers.at("s-").state == ServerState::Ready);
    CHECK(evacuations.servicesWithoutServers(serversIn({ "a", "b", "c" })).empty());
    CHECK(evacuations.servicesWithoutServers(serversIn({ "c" })).empty());
    CHECK(evacuations.servicesWithoutServers(serversIn({ "a", "b" })) == Names { "service" });
    auto draining = serversIn({ "a", "c" });
    draining.at("s-c").state = ServerState::Draining;
    CHECK(evacuations.servicesWithoutServers(draining) == Names { "service" });
}
