#include "EdgeFixture.h"

#include <doctest/doctest.h>
#include <future>
#include <thread>

using namespace sequoia;
using namespace sequoia::edge;
using namespace sequoia::edge::test;
using sequoia::test::Connection;
using sequoia::test::FakeServer;
using sequoia::test::headerIn;

namespace {

//! Records the request as received and responds to it.
FakeServer::Step recording(std::promise<std::string>& request)
{
    return [&request](Connection& connection) {
        auto message = connection.readMessage();
        connection.write(signedResponse(message, "ok"));
        request.set_value(message);
        connection.readToEnd();
    };
}

}

// Guards against altered requests at the server.
TEST_CASE("method, path, query, headers and body are forwarded unchanged, with the expected server's id")
{
    std::promise<std::string> received;
    FakeServer server({ recording(received) });
    EdgeFixture edge(EdgeFixture::targetsAt({ server.address() }));
    edge.sendRequest(requestText("PUT", "/unsafe/a%20b/?q=1&r=%2F", "r1",
        "X-Other: kept\r\nTest-Deadline-Ms: 3000\r\nTest-Expected-Server: forged\r\nConnection: X-Hop\r\nX-Hop: "
        "dropped\r\n",
        "hello"));
    auto request = received.get_future().get();
    CHECK(request.starts_with("PUT /unsafe/a%20b/?q=1&r=%2F HTTP/1.1\r\n"));
    CHECK(request.ends_with("\r\n\r\nhello"));
    CHECK(headerIn(request, "X-Other") == "kept");
    CHECK(headerIn(request, "X-Hop").empty());
    CHECK(headerIn(request, "Sequoia-Request-Id") == "r1");
    CHECK(headerIn(request, "Test-Expected-Server") == "server-1");
    auto left = std::stoi(headerIn(request, "Test-Deadline-Ms"));
    CHECK(left > 0);
    CHECK(left <= 3000);
}

// Guards against request smuggling: a request hidden in the body of another one.
TEST_CASE("a request with two lengths, or with a length and chunks, is refused and reaches no server")
{
    FakeServer server({});
    EdgeFixture edge(EdgeFixture::targetsAt({ server.address() }));
    auto twoLengths
        = edge.sendRequest(requestText("POST", "/unsafe/x", "r1", "Content-Length: 2\r\nContent-Length: 7\r\n"));
    CHECK(twoLengths.starts_with("HTTP/1.1 400 "));
    auto both = edge.sendRequest(
        requestText("POST", "/unsafe/x", "r1", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n");
    CHECK(both.starts_with("HTTP/1.1 400 "));
    CHECK(edge.placer.submitted().empty());
    CHECK(server.connections() == 0);
}

TEST_CASE("a request that is malformed, too long or without a route is refused with its status")
{
    EdgeFixture edge({});
    CHECK(edge.sendRequest("nonsense\r\n\r\n").starts_with("HTTP/1.1 400 "));
    CHECK(edge.sendRequest(requestText("GET", "/none/x", "r1")).starts_with("HTTP/1.1 404 "));
    // A route that a newer configuration adds must not be denied by a host that does not have it yet.
    edge.run([](EdgeServer& server) { server.setConfigurationOutdated(true); });
    auto refusal = edge.sendRequest(requestText("GET", "/none/x", "r2"));
    CHECK(refusal.starts_with("HTTP/1.1 503 "));
    CHECK(refusal.find("Retry-After: 0.400") != std::string::npos);
    edge.run([](EdgeServer& server) { server.setConfigurationOutdated(false); });
    CHECK(edge.sendRequest(requestText("GET", "/none/x", "r3")).starts_with("HTTP/1.1 404 "));
    CHECK(edge.sendRequest("GET /safe/x HTTP/1.1\r\nHost: test.example\r\n\r\n").starts_with("HTTP/1.1 400 "));
    CHECK(edge.sendRequest(requestText("GET", "/keyed/x", "r1", "Test-Key: 65536\r\n")).starts_with("HTTP/1.1 400 "));
    CHECK(edge.sendRequest(requestText("GET", "/safe/x", "r1", "X-Long: " + std::string(20'000, 'a') + "\r\n"))
              .starts_with("HTTP/1.1 431 "));
    CHECK(edge.sendRequest(requestText("POST", "/upload/x", "r1", "Content-Length: 99999999999\r\n"))
              .starts_with("HTTP/1.1 413 "));
}

// Guards against uploads that are truncated or reordered, or buffered in memory.
TEST_CASE("a long upload arrives completely, with a content length and chunked")
{
    std::string body;
    for (int i = 0; i < 400'000; ++i)
        body += std::to_string(i);
    for (bool chunked : { false, true }) {
        CAPTURE(chunked);
        std::promise<std::string> received;
        FakeServer server({ [&](Connection& connection) {
            auto head = connection.readHead();
            std::string arrived;
            if (!chunked)
                arrived = connection.readExactly(body.size());
            while (chunked) {
                std::string line;
                while (!line.ends_with("\r\n"))
                    line += connection.readExactly(1);
                auto size = std::stoul(line, nullptr, 16);
                arrived += connection.readExactly(size);
                connection.readExactly(2);
                if (size == 0)
                    break;
            }
            connection.write(signedResponse(head, "stored"));
            received.set_value(arrived);
            connection.readToEnd();
        } });
        EdgeFixture edge(EdgeFixture::targetsAt({ server.address() }));
        auto caller = edge.connect();
        if (chunked) {
            caller.write(requestText("POST", "/upload/x", "r1", "Transfer-Encoding: chunked\r\n"));
            for (std::size_t at = 0; at < body.size(); at += 50'000) {
                auto part = body.substr(at, 50'000);
                char size[16];
                std::snprintf(size, sizeof size, "%zx\r\n", part.size());
                caller.write(size + part + "\r\n");
            }
            caller.write("0\r\n\r\n");
        } else
            caller.write(requestText("POST", "/upload/x", "r1", "", body));
        CHECK(caller.readMessage().ends_with("stored"));
        CHECK(received.get_future().get() == body);
    }
}

// Guards against a retry that sends the body without its beginning, which was dropped after streaming.
TEST_CASE("a partly streamed upload is not retried on a second server")
{
    std::string body(3 * 1024 * 1024, 'x');
    FakeServer full({ [&](Connection& connection) {
        auto head = connection.readHead();
        connection.readExactly(body.size());
        connection.write(signedResponse(head, "", "503 Service Unavailable", "Test-Not-Executed: 1\r\n"));
        connection.readToEnd();
    } });
    FakeServer second({ respondSigned("must not be reached") });
    EdgeFixture edge(EdgeFixture::targetsAt({ full.address(), second.address() }));
    auto response = edge.sendRequest(requestText("POST", "/upload/x", "r1", "", body));
    CHECK(response.starts_with("HTTP/1.1 503 "));
    CHECK(second.connections() == 0);
}

// Guards against the rest of a body being parsed as the next request, on this host or at the server.
TEST_CASE(
    "a response before the end of the request body reaches the caller, and the next request gets its own response")
{
    std::string body(2 * 1024 * 1024, 'x');
    FakeServer server({ [&](Connection& connection) {
                           auto head = connection.readHead();
                           connection.write(signedResponse(head, "too long", "422 Unprocessable Entity"));
                           connection.readToEnd();
                       },
        respondSigned("next") });
    EdgeFixture edge(EdgeFixture::targetsAt({ server.address(), server.address() }));
    auto caller = edge.connect();
    caller.write(requestText("POST", "/upload/x", "r1", "", body));
    CHECK(caller.readMessage().starts_with("HTTP/1.1 422 "));
    caller.write(requestText("GET", "/safe/x", "r2"));
    auto next = caller.readMessage();
    CHECK(next.starts_with("HTTP/1.1 200 "));
    CHECK(next.ends_with("next"));
    CHECK(server.connections() == 2);
}

// Guards against responses out of order on one connection.
TEST_CASE("pipelined requests are answered in order")
{
    FakeServer server({ [](Connection& connection) {
        for (int i = 0; i < 2; ++i) {
            auto head = connection.readMessage();
            connection.write(signedResponse(head, "for " + headerIn(head, "Sequoia-Request-Id")));
        }
        connection.readToEnd();
    } });
    EdgeFixture edge({ { "server-1", server.address() }, { "server-1", server.address() } });
    auto caller = edge.connect();
    caller.write(requestText("GET", "/safe/x", "r1") + requestText("GET", "/safe/x", "r2"));
    CHECK(caller.readMessage().ends_with("for r1"));
    CHECK(caller.readMessage().ends_with("for r2"));
    CHECK(server.connections() == 1);
}

// Guards against a drain that aborts requests, and against callers that keep a connection to a stopped host.
TEST_CASE("a drain completes the request in flight, announces the close and closes idle connections")
{
    std::promise<void> arrived;
    std::promise<void> proceed;
    FakeServer server({ [&](Connection& connection) {
        auto head = connection.readMessage();
        arrived.set_value();
        proceed.get_future().wait();
        connection.write(signedResponse(head, "whole"));
        connection.readToEnd();
    } });
    EdgeFixture edge(EdgeFixture::targetsAt({ server.address() }));
    auto idle = edge.connect();
    auto caller = edge.connect();
    caller.write(requestText("POST", "/unsafe/x", "r1", "", "hello"));
    arrived.get_future().wait();
    edge.run([](EdgeServer& running) {
        running.startDraining();
        running.stopListening();
        running.closeIdleCallerConnections();
    });
    proceed.set_value();
    auto response = caller.readMessage();
    CHECK(response.ends_with("whole"));
    CHECK(headerIn(response, "Connection") == "close");
    CHECK(caller.readToEnd().empty());
    // As the node does while it stops; a connection is closed once it has been idle for half a second.
    std::size_t left = 1;
    for (int round = 0; round < 200 && left > 0; ++round) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        edge.run([&left](EdgeServer& running) { left = running.closeIdleCallerConnections(); });
    }
    CHECK(left == 0);
    CHECK(idle.readToEnd().empty());
}

// Guards against a latency target that counts from the second attempt of a caller that retries after a refusal.
TEST_CASE("the difference to the longest deadline of the route counts as time that the caller has waited")
{
    EdgeFixture edge({});
    edge.sendRequest(requestText("GET", "/safe/x", "r1", "Test-Deadline-Ms: 4000\r\n"));
    edge.sendRequest(requestText("GET", "/safe/x", "r2", "Test-Deadline-Ms: 1000\r\n"));
    auto jobs = edge.placer.submitted();
    REQUIRE(jobs.size() == 2);
    auto between = [](const balance::Job& job) { return job.deadline - job.target; };
    CHECK(between(jobs[1]) - between(jobs[0]) == std::chrono::milliseconds(0));
}

// Guards against a caller's time that is a fraction and is taken for the default, so that servers get more than is
// left.
TEST_CASE("the caller's time may be a fraction, and any number is bounded")
{
    EdgeFixture edge({});
    edge.sendRequest(requestText("GET", "/safe/x", "r1", "Test-Deadline-Ms: 1000.5\r\n"));
    edge.sendRequest(requestText("GET", "/safe/x", "r2", "Test-Deadline-Ms: 1000\r\n"));
    edge.sendRequest(requestText("GET", "/safe/x", "r3", "Test-Deadline-Ms: 1e300\r\n"));
    edge.sendRequest(requestText("GET", "/safe/x", "r4", "Test-Deadline-Ms: 9223372036854775807\r\n"));
    auto jobs = edge.placer.submitted();
    REQUIRE(jobs.size() == 4);
    auto between = [](const balance::Job& job) { return job.deadline - job.target; };
    CHECK(between(jobs[0]) == between(jobs[1]));
    CHECK(between(jobs[2]) == between(jobs[3]));
}

// Guards against an overflow with the idle time that a server states.
TEST_CASE("a server may state any idle time, and its connection is used again")
{
    auto respond = [](Connection& connection) {
        for (const auto* idle : { "9223372036854775807", "99999999999999999999", "1e9", "5" }) {
            auto request = connection.readMessage();
            connection.write(std::string("HTTP/1.1 200 OK\r\nSequoia-Request-Id: ")
                + headerIn(request, "Sequoia-Request-Id") + "\r\nTest-Signature: s\r\nKeep-Alive: timeout=" + idle
                + "\r\nContent-Length: 2\r\n\r\nok");
        }
        connection.readToEnd();
    };
    FakeServer server({ respond });
    EdgeFixture edge({ { "server-1", server.address() }, { "server-1", server.address() },
        { "server-1", server.address() }, { "server-1", server.address() } });
    for (int i = 0; i < 4; ++i)
        CHECK(edge.sendRequest(requestText("GET", "/safe/x", "r" + std::to_string(i), "")).ends_with("ok"));
    CHECK(server.connections() == 1);
}

// A backend server never responded, and the process exit closed the caller's connection without a response (seen in
// hinagiku-gw-grown scale-1).
TEST_CASE("when the process ends, a request whose server never responds gets a 504")
{
    std::promise<void> arrived;
    FakeServer server({ [&](Connection& connection) {
        connection.readMessage();
        arrived.set_value();
        connection.readToEnd();
    } });
    EdgeFixture edge(EdgeFixture::targetsAt({ server.address() }));
    auto caller = edge.connect();
    caller.write(requestText("POST", "/unsafe/x", "r1", "", "hello"));
    arrived.get_future().wait();
    edge.run([](EdgeServer& running) {
        running.startDraining();
        running.refuseUnplacedRequests();
        running.expireRequests();
    });
    CHECK(caller.readMessage().starts_with("HTTP/1.1 504 "));
}
