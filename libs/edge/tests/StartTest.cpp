#include "EdgeFixture.h"

#include <doctest/doctest.h>

using namespace sequoia;
using namespace sequoia::edge;
using namespace sequoia::edge::test;
using sequoia::test::FakeServer;

// Guards against refusing the first callers of a process that is about to know its configuration.
TEST_CASE("a request that arrives before the configuration is served when it is known")
{
    FakeServer server({ respondSigned("first") });
    EdgeFixture edge(EdgeFixture::targetsAt({ server.address() }), std::chrono::seconds(5), false);
    auto caller = edge.connect();
    caller.write(requestText("GET", "/safe/x", "r1"));
    edge.configure();
    CHECK(caller.readMessage().ends_with("first"));
}

TEST_CASE("without a configuration, requests are refused after a short time")
{
    EdgeFixture edge({}, std::chrono::seconds(5), false);
    auto response = edge.sendRequest(requestText("GET", "/safe/x", "r1"));
    CHECK(response.starts_with("HTTP/1.1 503 "));
    CHECK(!sequoia::test::headerIn(response, "Retry-After").empty());
}
