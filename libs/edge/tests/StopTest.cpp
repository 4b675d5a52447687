#include "EdgeFixture.h"

#include <doctest/doctest.h>

using namespace sequoia;
using namespace sequoia::edge;
using namespace sequoia::edge::test;
using sequoia::test::Connection;
using sequoia::test::FakeServer;

// Guards against requests that are cut off when the host closes its listener: rookhuis-gw-grown fresh-167b, where a
// request that arrived 2.5 s after SIGTERM got neither an answer nor a refusal.
TEST_CASE("connections that the kernel has accepted before the listener closes are served")
{
    FakeServer server({ respondSigned("first") });
    EdgeFixture edge(EdgeFixture::targetsAt({ server.address() }));
    std::optional<Connection> caller;
    // The event loop is busy here, so that the connection stays in the accept queue.
    edge.run([&](EdgeServer& running) {
        caller.emplace(edge.connect());
        caller->write(requestText("POST", "/unsafe/x", "r1", "", "hello"));
        running.startDraining();
        running.stopListening();
        running.closeIdleCallerConnections();
    });
    CHECK(caller->readMessage().ends_with("first"));
}

TEST_CASE("a request that has arrived but was not read is served before its idle connection closes")
{
    FakeServer server({ respondSigned("first") });
    EdgeFixture edge(EdgeFixture::targetsAt({ server.address() }));
    auto caller = edge.connect();
    edge.run([&](EdgeServer& running) {
        caller.write(requestText("POST", "/unsafe/x", "r1", "", "hello"));
        running.startDraining();
        running.stopListening();
        running.closeIdleCallerConnections();
    });
    CHECK(caller.readMessage().ends_with("first"));
}

TEST_CASE("a new connection may send its first request although the host stops")
{
    FakeServer server({ respondSigned("first") });
    EdgeFixture edge(EdgeFixture::targetsAt({ server.address() }));
    auto caller = edge.connect();
    edge.run([](EdgeServer& running) {
        running.startDraining();
        running.stopListening();
        running.closeIdleCallerConnections();
    });
    caller.write(requestText("POST", "/unsafe/x", "r1", "", "hello"));
    CHECK(caller.readMessage().ends_with("first"));
}
