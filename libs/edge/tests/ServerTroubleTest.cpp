#include "EdgeFixture.h"

#include <atomic>
#include <chrono>
#include <doctest/doctest.h>
#include <functional>
#include <future>
#include <list>
#include <malloc.h>
#include <thread>
#ifdef __SANITIZE_ADDRESS__
// Of the sanitizer's runtime, whose header is not in every package of the compiler.
extern "C" std::size_t __sanitizer_get_current_allocated_bytes();
#endif

using namespace sequoia;
using namespace sequoia::edge;
using namespace sequoia::edge::test;
using sequoia::test::Connection;
using sequoia::test::FakeServer;
using sequoia::test::headerIn;

namespace {

constexpr auto timeLimit = std::chrono::seconds(15);

std::string headOf(const std::string& requestHead, const std::string& more)
{
    return "HTTP/1.1 200 OK\r\nSequoia-Request-Id: " + headerIn(requestHead, "Sequoia-Request-Id")
        + "\r\nTest-Signature: s\r\n" + more;
}

//! Writes the first bytes, then a piece again and again until the peer closes the connection.
FakeServer::Step endless(std::function<std::string(const std::string&)> first, std::string piece,
    std::chrono::milliseconds pause = std::chrono::milliseconds(0))
{
    return [first = std::move(first), piece = std::move(piece), pause](Connection& connection) {
        connection.write(first(connection.readMessage()));
        try {
            while (true) {
                connection.write(piece);
                std::this_thread::sleep_for(pause);
            }
        } catch (const std::exception&) {
            // The peer has closed the connection, which ends this step.
        }
    };
}

struct EndlessBytes {
    const char* what;
    std::function<std::string(const std::string&)> first;
    std::string piece;
    std::chrono::milliseconds pause { 0 };
};

std::vector<EndlessBytes> endlessBytes()
{
    std::string block(16'384, 'x');
    std::string fields;
    for (int i = 0; i < 500; ++i)
        fields += "Header-" + std::to_string(i) + ": value\r\n";
    return {
        { "a head that is no head", [](const auto&) { return ""; }, block },
        { "a status line without an end", [](const auto&) { return "HTTP/1.1 200 "; }, block },
        { "a header field without an end", [](const auto& head) { return headOf(head, "More: "); }, block },
        { "header fields without an end", [](const auto& head) { return headOf(head, ""); }, fields },
        { "a head that trickles", [](const auto& head) { return headOf(head, "More: "); }, "x",
            std::chrono::milliseconds(5) },
        { "interim responses", [](const auto&) { return ""; }, "HTTP/1.1 100 Continue\r\n\r\n" },
        { "a chunk header without an end",
            [](const auto& head) { return headOf(head, "Transfer-Encoding: chunked\r\n\r\n5;"); }, block },
        { "trailer fields without an end",
            [](const auto& head) { return headOf(head, "Transfer-Encoding: chunked\r\n\r\n0\r\nMore: "); }, block },
        { "the body of a response to another request",
            [](const auto&) {
                return "HTTP/1.1 200 OK\r\nSequoia-Request-Id: other\r\nTest-Signature: s\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n";
            },
            "4000\r\n" + block + "\r\n" },
        { "the body of an unsigned response",
            [](const auto&) { return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"; }, "1\r\nx\r\n",
            std::chrono::milliseconds(5) },
    };
}

//! Heap memory in use, in bytes.
std::size_t heapBytes()
{
#ifdef __SANITIZE_ADDRESS__
    return __sanitizer_get_current_allocated_bytes();
#else
    return mallinfo2().uordblks;
#endif
}

}

// Guards against requests that wait for their deadline, and against memory that grows, while a server sends bytes that
// are no response.
TEST_CASE("bytes without end that are no response fail the attempt, and the request is retried if it may be")
{
    for (const auto& bytes : endlessBytes()) {
        CAPTURE(bytes.what);
        FakeServer bad(
            { endless(bytes.first, bytes.piece, bytes.pause), endless(bytes.first, bytes.piece, bytes.pause) });
        FakeServer good({ respondSigned("whole") });
        EdgeFixture edge(EdgeFixture::targetsAt({ bad.address(), good.address(), bad.address() }), timeLimit);
        auto begin = std::chrono::steady_clock::now();
        auto response = edge.sendRequest(requestText("GET", "/safe/x", "r1"));
        CHECK(response.ends_with("\r\n\r\nwhole"));
        // What must not be repeated may have run.
        CHECK(edge.sendRequest(requestText("POST", "/unsafe/x", "r2", "", "hello")).starts_with("HTTP/1.1 502 "));
        CHECK(std::chrono::steady_clock::now() - begin < timeLimit / 2);
    }
}

TEST_CASE("a signed response that streams for longer than the limit for a head is not cut")
{
    FakeServer server({ [](Connection& connection) {
        connection.write(headOf(connection.readMessage(), "Transfer-Encoding: chunked\r\n\r\n"));
        std::string piece(16'384, 'x');
        for (int i = 0; i < 150; ++i) {
            connection.write("4000\r\n" + piece + "\r\n");
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        connection.write("0\r\n\r\n");
        connection.readToEnd();
    } });
    EdgeFixture edge(EdgeFixture::targetsAt({ server.address() }), timeLimit);
    auto caller = edge.connect();
    caller.write(requestText("GET", "/safe/x", "r1", "Connection: close\r\n"));
    auto response = caller.readToEnd();
    CHECK(response.size() > 150 * 16'384);
    CHECK(response.ends_with("0\r\n\r\n"));
}

// Two thousand connections at once. Each server sends without end, each caller reads nothing.
TEST_CASE("memory stays bounded while many servers send without end")
{
    constexpr std::size_t count = 2000;
    constexpr std::size_t maxBytesPerConnection = 65'536;
    std::promise<void> flood;
    auto flooding = flood.get_future().share();
    std::atomic<std::size_t> arrived = 0;
    std::string block(16'384, 'x');
    std::vector<FakeServer::Step> steps;
    for (std::size_t i = 0; i < count; ++i)
        steps.push_back(endless(
            [i, flooding, &arrived](const auto& head) {
                ++arrived;
                flooding.wait();
                return i % 2 ? headOf(head, "Transfer-Encoding: chunked\r\n\r\n") : headOf(head, "More: ");
            },
            "4000\r\n" + block + "\r\n", std::chrono::milliseconds(100)));
    FakeServer server(std::move(steps));
    EdgeFixture edge(
        EdgeFixture::targetsAt(std::vector<std::string>(count, server.address())), std::chrono::seconds(8));
    std::list<Connection> callers;
    for (std::size_t i = 0; i < count; ++i)
        callers.push_back(edge.connect());
    std::size_t number = 0;
    for (auto& caller : callers)
        caller.write(requestText("POST", "/unsafe/x", "r" + std::to_string(++number), "", "hello"));
    for (int i = 0; i < 200 && arrived < count; ++i)
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    auto before = heapBytes();
    // Set before the check, since the servers' threads are joined when it fails.
    flood.set_value();
    REQUIRE(arrived == count);
    auto most = before;
    for (int i = 0; i < 50; ++i) {
        most = std::max(most, heapBytes());
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    CHECK(most - before < count * maxBytesPerConnection);
    callers.clear();
}

// Guards against a request that must not be repeated running again because a copy of the refusal of its first attempt
// is taken for that of the second one.
TEST_CASE("a second copy of a refusal does not answer the next attempt of the same request")
{
    auto refusal = [](const std::string& head) {
        return sequoia::test::answerTo(head, "full", "503 Service Unavailable", "Test-Not-Executed: 1\r\n");
    };
    FakeServer server({ [&](Connection& connection) {
                           auto head = connection.readMessage();
                           connection.write(refusal(head));
                           // The copy arrives when the next request has been sent on this connection.
                           try {
                               connection.readMessage();
                               connection.write(refusal(head));
                               connection.readToEnd();
                           } catch (const std::exception&) {
                               // No further request came on this connection, as it should be.
                           }
                       },
        respondSigned("ran once") });
    EdgeFixture edge(EdgeFixture::targetsAt({ server.address(), server.address() }));
    auto caller = edge.connect();
    caller.write(requestText("POST", "/keyed/x", "r1", "Test-Key: 5\r\n", "hello"));
    auto response = caller.readMessage();
    CHECK(response.ends_with("ran once"));
    CHECK(edge.placer.submitted().size() == 2);
}

TEST_CASE("what a server announces about itself is reported, also with a late response to another request")
{
    FakeServer server({ [](Connection& connection) {
        auto head = connection.readMessage();
        connection.write("HTTP/1.1 200 OK\r\nSequoia-Request-Id: earlier\r\nTest-Signature: s\r\nTest-Leaving: "
                         "1\r\nContent-Length: 2\r\n\r\nok"
            + signedResponse(head, "right"));
        connection.readToEnd();
    } });
    EdgeFixture edge(EdgeFixture::targetsAt({ server.address() }));
    CHECK(edge.sendRequest(requestText("GET", "/safe/x", "r1")).ends_with("right"));
    auto notices = edge.placer.notices();
    REQUIRE(notices.size() == 1);
    CHECK(notices[0].server == "server-1");
    CHECK(notices[0].notice.leaving);
}

TEST_CASE("Retry-After of a server is bounded, and values that are no number of seconds are ignored")
{
    struct Value {
        const char* lines;
        double seconds;
    };
    const Value values[] = { { "Retry-After: 2\r\n", 2 }, { "Retry-After: 0.5\r\n", 0.5 }, { "Retry-After: 0\r\n", 0 },
        { "Retry-After: -3\r\n", 0 }, { "Retry-After:\r\n", 0 },
        { "Retry-After: 1000000000000000000000000000000\r\n", 60 }, { "Retry-After: nan\r\n", 0 },
        { "Retry-After: inf\r\n", 0 }, { "Retry-After: Fri, 04 Dec 2026 10:00:00 GMT\r\n", 0 },
        { "Retry-After: 2 s\r\n", 0 }, { "Retry-After: 2\r\nRetry-After: 3\r\n", 0 }, { "", 0 } };
    for (const auto& value : values) {
        CAPTURE(value.lines);
        FakeServer server({ respondSigned(
            "full", "503 Service Unavailable", std::string("Test-Not-Executed: 1\r\n") + value.lines) });
        EdgeFixture edge(EdgeFixture::targetsAt({ server.address() }));
        CHECK(edge.sendRequest(requestText("POST", "/unsafe/x", "r1", "", "hello")).starts_with("HTTP/1.1 503 "));
        auto notices = edge.placer.notices();
        if (value.seconds == 0) {
            CHECK(notices.empty());
            continue;
        }
        REQUIRE(notices.size() == 1);
        CHECK(notices[0].notice.pause == std::chrono::milliseconds(static_cast<int>(value.seconds * 1000)));
    }
}

// Guards against a job that waits on for a caller that has been answered, and whose placement then arrives.
TEST_CASE("a chunked body that exceeds the limit while its job waits withdraws the job")
{
    EdgeFixture edge(std::vector<PlacementTarget> { { "", "" } });
    auto caller = edge.connect();
    caller.write("POST /upload/x HTTP/1.1\r\nHost: test.example\r\nSequoia-Request-Id: r1\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n");
    std::string piece(65'536, 'x');
    std::string response;
    try {
        for (int i = 0; i < 2000; ++i)
            caller.write("10000\r\n" + piece + "\r\n");
    } catch (const std::exception&) {
        // The host has answered and closed its side.
    }
    for (int i = 0; i < 200 && edge.placer.withdrawn() == 0; ++i)
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    CHECK(edge.placer.submitted().size() == 1);
    CHECK(edge.placer.withdrawn() == 1);
}

TEST_CASE("a long failure response of a server counts as a failure of the server")
{
    FakeServer server({ respondSigned(std::string(300'000, 'x'), "500 Internal Server Error") });
    EdgeFixture edge(EdgeFixture::targetsAt({ server.address() }));
    CHECK(edge.sendRequest(requestText("GET", "/safe/x", "r1")).starts_with("HTTP/1.1 500 "));
    auto ends = edge.placer.waitForEnds(1);
    REQUIRE(ends.size() == 1);
    CHECK(ends[0].result == balance::JobResult::ServerError);
}
