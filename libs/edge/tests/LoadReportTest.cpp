#include "EdgeFixture.h"

#include <doctest/doctest.h>

using namespace sequoia;
using namespace sequoia::edge;
using namespace sequoia::edge::test;
using sequoia::test::FakeServer;

namespace {

constexpr std::uint32_t most = balance::maxReportedRequests;

}

// Guards against a wrong figure that reaches the decisions, and against a connection that is lost for it.
TEST_CASE("the load that a server states is reported with the end of the job; other values are ignored or bounded")
{
    using Report = std::optional<balance::ServerReport>;
    struct Value {
        std::string lines;
        Report report;
        bool valid = false;
    };
    const std::string huge(31, '9');
    const Value values[] = { { "Test-Load: 3,4,6,250\r\n", Report({ 3, 4, 6, 250 }), true },
        { "Test-Load: 0,0,6\r\n", Report({ 0, 0, 6, 0 }), true },
        { "test-load:  3 , 4,6 ,100 \r\n", Report({ 3, 4, 6, 100 }), true }, { "", std::nullopt, true },
        { "Test-Load: 100000,100000,100000,10000\r\n", Report({ most, most, most, 10'000 }), true },
        { "Test-Load: 9,4,6,100\r\n", Report({ 6, 4, 6, 100 }) }, { "Test-Load: 3,4,0,100\r\n", {} },
        { "Test-Load: 3,4,6,0\r\n", {} }, { "Test-Load: 3,4\r\n", {} }, { "Test-Load: 3,4,6,100,1\r\n", {} },
        { "Test-Load: 3,4,6,\r\n", {} }, { "Test-Load: ,,\r\n", {} }, { "Test-Load:\r\n", {} },
        { "Test-Load: -3,4,6,100\r\n", {} }, { "Test-Load: +3,4,6,100\r\n", {} }, { "Test-Load: 3,4,6,1e2\r\n", {} },
        { "Test-Load: 3,nan,6\r\n", {} }, { "Test-Load: " + huge + ",4,6,100\r\n", {} },
        { "Test-Load: 3,4,6," + huge + "\r\n", {} }, { "Test-Load: 100001,4,100000\r\n", {} },
        { "Test-Load: 3,4,6,100\r\nTest-Load: 3,4,6,100\r\n", {} } };
    for (const auto& value : values) {
        CAPTURE(value.lines);
        FakeServer server({ respondSigned("right", "200 OK", value.lines) });
        EdgeFixture edge(EdgeFixture::targetsAt({ server.address() }));
        CHECK(edge.sendRequest(requestText("GET", "/safe/x", "r1")).ends_with("right"));
        auto ends = edge.placer.waitForEnds(1);
        REQUIRE(ends.size() == 1);
        CHECK(ends[0].load == value.report);
        CHECK(ends[0].result == balance::JobResult::Answered);
        edge.run([&](EdgeServer& running) { CHECK(running.counters().invalidLoadReports == (value.valid ? 0 : 1)); });
        CHECK(edge.eventCount("load_report_invalid") == (value.valid ? 0 : 1));
    }
}

// Guards against a log line for each response of a server that states nonsense.
TEST_CASE("a load that is no valid report is logged once per server and period")
{
    auto response = respondSigned("right", "200 OK", "Connection: close\r\nTest-Load: many\r\n");
    FakeServer server({ response, response, response, response });
    EdgeFixture edge(std::vector<PlacementTarget>(3, { "server-1", server.address() }));
    for (int i = 0; i < 3; ++i)
        CHECK(edge.sendRequest(requestText("GET", "/safe/x", "r" + std::to_string(i))).ends_with("right"));
    edge.run([&](EdgeServer& running) { CHECK(running.counters().invalidLoadReports == 3); });
    CHECK(edge.eventCount("load_report_invalid") == 1);
}

// Guards against a report that is taken for that of another attempt.
TEST_CASE("a rejection reports its load, and the next attempt without a header reports none")
{
    FakeServer full(
        { respondSigned("", "503 Service Unavailable", "Test-Not-Executed: 1\r\nTest-Load: 6,9,6,300\r\n") });
    FakeServer other({ respondSigned("right") });
    EdgeFixture edge(EdgeFixture::targetsAt({ full.address(), other.address() }));
    CHECK(edge.sendRequest(requestText("GET", "/safe/x", "r1")).ends_with("right"));
    auto ends = edge.placer.waitForEnds(2);
    REQUIRE(ends.size() == 2);
    CHECK(ends[0].load == balance::ServerReport { 6, 9, 6, 300 });
    CHECK_FALSE(ends[1].load.has_value());
}
