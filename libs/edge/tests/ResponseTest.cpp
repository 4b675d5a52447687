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

struct Fault {
    const char* what;
    std::function<std::string(const std::string&)> respond;
};

std::string idLine(const std::string& head)
{
    return "Sequoia-Request-Id: " + headerIn(head, "Sequoia-Request-Id") + "\r\nTest-Signature: s\r\n";
}

//! Server responses that must not reach a caller as complete.
std::vector<Fault> faults()
{
    return {
        { "garbage", [](const auto&) { return "\x01\x02 garbage\r\n\r\n"; } },
        { "nothing", [](const auto&) { return ""; } },
        { "half a head", [](const auto& head) { return "HTTP/1.1 200 OK\r\n" + idLine(head); } },
        { "half a body",
            [](const auto& head) { return "HTTP/1.1 200 OK\r\n" + idLine(head) + "Content-Length: 9\r\n\r\nhalf"; } },
        { "a chunk size that is no number",
            [](const auto& head) {
                return "HTTP/1.1 200 OK\r\n" + idLine(head)
                    + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\nzz\r\n\r\n";
            } },
        { "chunks without an end",
            [](const auto& head) {
                return "HTTP/1.1 200 OK\r\n" + idLine(head) + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n";
            } },
        { "length and chunks",
            [](const auto& head) {
                return "HTTP/1.1 200 OK\r\n" + idLine(head)
                    + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n";
            } },
        { "two lengths",
            [](const auto& head) {
                return "HTTP/1.1 200 OK\r\n" + idLine(head) + "Content-Length: 2\r\nContent-Length: 5\r\n\r\nhello";
            } },
        { "another request's id",
            [](const auto&) {
                return "HTTP/1.1 200 OK\r\nSequoia-Request-Id: other\r\nTest-Signature: s\r\nContent-Length: "
                       "2\r\n\r\nok";
            } },
        { "no id", [](const auto&) { return "HTTP/1.1 200 OK\r\nTest-Signature: s\r\nContent-Length: 2\r\n\r\nok"; } },
        { "no signature", [](const auto& head) { return sequoia::test::answerTo(head, "ok"); } },
        { "an encoded body",
            [](const auto& head) { return signedResponse(head, "ok", "200 OK", "Content-Encoding: gzip\r\n"); } },
    };
}

FakeServer::Step closingAfter(std::function<std::string(const std::string&)> respond)
{
    return
        [respond = std::move(respond)](Connection& connection) { connection.write(respond(connection.readMessage())); };
}

}

// Guards against forwarding an invalid response, and against executing a non-idempotent request twice.
TEST_CASE("an invalid response to a non-idempotent request yields 502 after one attempt")
{
    for (const auto& fault : faults()) {
        CAPTURE(fault.what);
        FakeServer server({ closingAfter(fault.respond), respondSigned("second") });
        EdgeFixture edge(EdgeFixture::targetsAt({ server.address(), server.address() }));
        auto response = edge.sendRequest(requestText("POST", "/unsafe/x", "r1", "", "hello"));
        CHECK(response.starts_with("HTTP/1.1 502 "));
        CHECK(headerIn(response, "Test-Signature").empty());
        CHECK(edge.placer.submitted().size() == 1);
    }
}

TEST_CASE("an invalid response to an idempotent request is retried on another server")
{
    for (const auto& fault : faults()) {
        CAPTURE(fault.what);
        FakeServer bad({ closingAfter(fault.respond) });
        FakeServer good({ respondSigned("whole") });
        EdgeFixture edge(EdgeFixture::targetsAt({ bad.address(), good.address() }));
        auto response = edge.sendRequest(requestText("GET", "/safe/x", "r1"));
        CHECK(response.starts_with("HTTP/1.1 200 "));
        CHECK(response.ends_with("\r\n\r\nwhole"));
        auto ends = edge.placer.waitForEnds(2);
        REQUIRE(ends.size() == 2);
        CHECK(ends[0].result == balance::JobResult::Lost);
        CHECK(ends[1].result == balance::JobResult::Answered);
    }
}

// Guards against a false 503, which promises that the request was not executed although it may have been.
TEST_CASE("a lost response without another server to try yields 502, not 503")
{
    FakeServer bad({ closingAfter([](const auto&) { return ""; }) });
    EdgeFixture edge(EdgeFixture::targetsAt({ bad.address() }));
    auto response = edge.sendRequest(requestText("GET", "/safe/x", "r1"));
    CHECK(response.starts_with("HTTP/1.1 502 "));
}

// Guards against forwarding the late response to an earlier request on a reused connection.
TEST_CASE("a late response to another request is skipped, and the right one is forwarded")
{
    FakeServer server({ [](Connection& connection) {
        auto head = connection.readMessage();
        connection.write(
            "HTTP/1.1 200 OK\r\nSequoia-Request-Id: earlier\r\nTest-Signature: s\r\nContent-Length: 5\r\n\r\nstale"
            + signedResponse(head, "right"));
        connection.readToEnd();
    } });
    EdgeFixture edge(EdgeFixture::targetsAt({ server.address() }));
    auto response = edge.sendRequest(requestText("POST", "/unsafe/x", "r1", "", "hello"));
    CHECK(response.starts_with("HTTP/1.1 200 "));
    CHECK(response.ends_with("right"));
}

// Guards against executing a request twice, or a false 503, after a late second copy of a rejection without an id
// (review/1).
TEST_CASE("on a used connection, a rejection without an id does not show that a request was not executed")
{
    const std::string rejection = "HTTP/1.1 503 Full\r\nTest-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    FakeServer server({ [&](Connection& connection) {
                           connection.write(signedResponse(connection.readMessage(), "one"));
                           auto head = connection.readMessage();
                           connection.write(rejection + signedResponse(head, "two"));
                           connection.readToEnd();
                       },
        // Nothing precedes a rejection on a new connection.
        [&](Connection& connection) {
            connection.readMessage();
            connection.write(rejection);
            connection.readToEnd();
        },
        [&](Connection& connection) {
            connection.write(signedResponse(connection.readMessage(), "four"));
            connection.readToEnd();
        } });
    EdgeFixture edge({ { "server-1", server.address() }, { "server-1", server.address() },
        { "server-1", server.address() }, { "server-1", server.address() } });
    CHECK(edge.sendRequest(requestText("POST", "/unsafe/x", "r1", "", "hello")).ends_with("one"));
    CHECK(edge.sendRequest(requestText("POST", "/unsafe/x", "r2", "", "hello")).starts_with("HTTP/1.1 502 "));
    CHECK(edge.placer.submitted().size() == 2);
    CHECK(edge.sendRequest(requestText("POST", "/unsafe/x", "r3", "", "hello")).ends_with("four"));
    CHECK(server.connections() == 3);
}

// Guards against bytes after a response being parsed as the response to the next request.
TEST_CASE("a backend connection with bytes after the response is not reused")
{
    FakeServer server({ [](Connection& connection) {
                           connection.write(signedResponse(connection.readMessage(), "one") + "extra bytes");
                           connection.readToEnd();
                       },
        respondSigned("two") });
    EdgeFixture edge(EdgeFixture::targetsAt({ server.address(), server.address() }));
    auto caller = edge.connect();
    caller.write(requestText("GET", "/safe/x", "r1"));
    CHECK(caller.readMessage().ends_with("one"));
    caller.write(requestText("GET", "/safe/x", "r2"));
    CHECK(caller.readMessage().ends_with("two"));
    CHECK(server.connections() == 2);
}

TEST_CASE("a response without a length is complete when the connection closes orderly")
{
    FakeServer server(
        { closingAfter([](const auto& head) { return "HTTP/1.1 200 OK\r\n" + idLine(head) + "\r\nuntil the end"; }) });
    EdgeFixture edge(EdgeFixture::targetsAt({ server.address() }));
    auto response = edge.sendRequest(requestText("GET", "/safe/x", "r1"));
    CHECK(response.starts_with("HTTP/1.1 200 "));
    CHECK(headerIn(response, "Content-Length") == "13");
    CHECK(response.ends_with("until the end"));
}

TEST_CASE("a server error is forwarded with its status and signature")
{
    FakeServer server({ respondSigned("broken", "500 Internal Server Error") });
    EdgeFixture edge(EdgeFixture::targetsAt({ server.address() }));
    auto response = edge.sendRequest(requestText("GET", "/safe/x", "r1"));
    CHECK(response.starts_with("HTTP/1.1 500 "));
    CHECK(headerIn(response, "Test-Signature") == "s1");
    CHECK(response.ends_with("broken"));
    CHECK(edge.placer.waitForEnds(1)[0].result == balance::JobResult::ServerError);
}

// Guards against forwarding a refusal although another server has capacity.
TEST_CASE("a request that a server did not execute is retried on another server, also if it is not idempotent")
{
    FakeServer full({ respondSigned("", "503 Service Unavailable", "Test-Not-Executed: 1\r\n") });
    FakeServer moved({ respondSigned("", "421 Misdirected Request") });
    FakeServer good({ respondSigned("done") });
    EdgeFixture edge(EdgeFixture::targetsAt({ full.address(), moved.address(), good.address() }));
    auto response = edge.sendRequest(requestText("POST", "/unsafe/x", "r1", "", "hello"));
    CHECK(response.starts_with("HTTP/1.1 200 "));
    CHECK(response.ends_with("done"));
    auto jobs = edge.placer.submitted();
    REQUIRE(jobs.size() == 3);
    CHECK(jobs[2].attempt == 2);
    CHECK(jobs[2].tried == std::vector<std::string> { "server-1", "server-2" });
}

TEST_CASE("a refused request gets a 503 response with Retry-After")
{
    EdgeFixture edge({});
    auto response = edge.sendRequest(requestText("POST", "/unsafe/x", "r1", "", "hello"));
    CHECK(response.starts_with("HTTP/1.1 503 "));
    CHECK(headerIn(response, "Retry-After") == "0.250");
    CHECK(headerIn(response, "Sequoia-Request-Id") == "r1");
}

// Guards against a caller without a response, and against 503 for a request that may have been executed.
TEST_CASE("at the deadline a placed request gets 504 and a request without a server 503")
{
    FakeServer silent({ [](Connection& connection) { connection.readToEnd(); } });
    EdgeFixture edge({ { "server-1", silent.address() }, { "", "" } }, std::chrono::milliseconds(200));
    CHECK(edge.sendRequest(requestText("POST", "/unsafe/x", "r1", "", "hello")).starts_with("HTTP/1.1 504 "));
    CHECK(edge.placer.waitForEnds(1)[0].result == balance::JobResult::TimedOut);
    CHECK(edge.sendRequest(requestText("POST", "/unsafe/x", "r2", "", "hello")).starts_with("HTTP/1.1 503 "));
    CHECK(edge.placer.withdrawn() == 1);
}

// Guards against work that continues for a caller that has disconnected.
TEST_CASE("a caller that disconnects cancels its request at the server")
{
    FakeServer server({ [](Connection& connection) {
        connection.readMessage();
        connection.readToEnd();
    } });
    EdgeFixture edge(EdgeFixture::targetsAt({ server.address() }));
    {
        auto caller = edge.connect();
        caller.write(requestText("GET", "/safe/x", "r1"));
        while (edge.placer.submitted().empty())
            std::this_thread::yield();
    }
    CHECK(edge.placer.waitForEnds(1)[0].result == balance::JobResult::Abandoned);
}
