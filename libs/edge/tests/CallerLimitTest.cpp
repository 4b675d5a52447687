#include "EdgeFixture.h"

#include <doctest/doctest.h>
#include <thread>

using namespace sequoia;
using namespace sequoia::edge;
using namespace sequoia::edge::test;
using sequoia::test::Connection;
using sequoia::test::FakeServer;

namespace {

constexpr std::size_t bodyBytes = 150'000;

std::string uploadHead(const std::string& id)
{
    return requestText("POST", "/upload/x", id, "Content-Length: " + std::to_string(bodyBytes) + "\r\n");
}

std::uint64_t limited(EdgeFixture& edge, CallerLimit reason)
{
    std::uint64_t count = 0;
    edge.run([&](EdgeServer& server) { count = server.limits().total(reason); });
    return count;
}

}

// Guards against a refused caller that goes on sending and is answered or stored again and again.
TEST_CASE("after a malformed or too long head there is one response, and the connection closes")
{
    EdgeFixture edge({});
    for (const auto& head : { std::string("no request\r\n\r\n"), "GET / HTTP/1.1\r\nA: " + std::string(20'000, 'a') }) {
        auto caller = edge.connect();
        caller.write(head);
        auto response = caller.readHead();
        CHECK(response.find("Connection: close\r\n") != std::string::npos);
        caller.write(head);
        caller.finishWriting();
        CHECK(caller.readToEnd().find("HTTP/1.1") == std::string::npos);
    }
    CHECK(limited(edge, CallerLimit::MalformedHead) == 2);
}

// Guards against trailers and chunk headers that fill the input buffer, and against refusing those within the limit.
TEST_CASE("trailers and chunk extensions are limited like a head")
{
    FakeServer server({ respondSigned("stored") });
    EdgeFixture edge(EdgeFixture::targetsAt({ server.address() }));
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    CHECK(edge.sendRequest(requestText("GET", "/safe/x", "r1", chunked) + "1;name=" + std::string(4'000, 'e')
                  + "\r\nx\r\n0\r\nTrailer: " + std::string(4'000, 't') + "\r\n\r\n")
              .ends_with("stored"));
    for (const auto* start : { "5;name=", "5\r\nhello\r\n0\r\nTrailer: " }) {
        auto caller = edge.connect();
        caller.write(requestText("POST", "/upload/x", "r2", chunked) + start + std::string(40'000, 'e'));
        CHECK(caller.readToEnd().empty());
    }
    CHECK(limited(edge, CallerLimit::ChunkOverhead) == 2);
    CHECK(edge.placer.submitted().size() == 1);
}

// Guards against bodies that stop and keep their memory until the deadline, and against ending slow ones: the slow one
// is far below the rate of any link within the limits.
TEST_CASE("a body that stops gets 408, and one that is slow is served")
{
    FakeServer server({ respondSigned("stored") });
    EdgeFixture edge(EdgeFixture::targetsAt({ server.address() }), std::chrono::seconds(20));
    auto stopped = edge.connect();
    stopped.write(uploadHead("r1") + std::string(bodyBytes - 1, 'u'));
    auto slow = edge.connect();
    slow.write(uploadHead("r2"));
    constexpr int parts = 14;
    constexpr std::size_t part = 150;
    for (int i = 0; i < parts; ++i) {
        slow.write(std::string(part, 'u'));
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
    }
    slow.write(std::string(bodyBytes - parts * part, 'u'));
    CHECK(slow.readMessage().ends_with("stored"));
    CHECK(stopped.readHead().starts_with("HTTP/1.1 408 "));
    CHECK(edge.placer.submitted().size() == 1);
    CHECK(limited(edge, CallerLimit::BodyStalled) == 1);
}

// Guards against many bodies that stop just short of their end and exceed the memory together.
TEST_CASE("when bodies that stopped hold the memory, they are refused with a time to return, and others are served")
{
    FakeServer server({ respondSigned("stored") });
    EdgeFixture edge(EdgeFixture::targetsAt({ server.address() }));
    edge.run([](EdgeServer& target) { target.setCeilings({ 800'000, 0 }); });
    std::vector<Connection> callers;
    for (int i = 0; i < 6; ++i) {
        callers.push_back(edge.connect());
        callers.back().write(uploadHead("r" + std::to_string(i)) + std::string(bodyBytes - 1, 'u'));
    }
    auto refused = callers.front().readHead();
    for (std::size_t i = 1; i < callers.size() && !refused.starts_with("HTTP/1.1 503 "); ++i)
        refused = callers[i].readHead();
    CHECK(refused.find("Retry-After: ") != std::string::npos);
    std::string response;
    for (int i = 0; i < 50 && !response.ends_with("stored"); ++i) {
        response = edge.sendRequest(requestText("POST", "/upload/x", "ordinary", "", std::string(bodyBytes, 'u')));
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    CHECK(response.ends_with("stored"));
    CHECK(edge.placer.submitted().size() == 1);
}

// Guards against idle connections and unfinished heads that take all descriptors.
TEST_CASE("at the limit of connections, idle ones and unfinished heads make room")
{
    FakeServer server({ respondSigned("served") });
    EdgeFixture edge(EdgeFixture::targetsAt({ server.address() }));
    edge.run([](EdgeServer& target) { target.setCeilings({ 0, 4 }); });
    std::vector<Connection> callers;
    for (int i = 0; i < 4; ++i) {
        callers.push_back(edge.connect());
        if (i % 2 == 1)
            callers.back().write("GET /safe/");
    }
    std::string response;
    for (int i = 0; i < 50 && !response.ends_with("served"); ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        try {
            response = edge.sendRequest(requestText("GET", "/safe/x", "r1"));
        } catch (const std::exception&) {
            // Closed, because nothing has been idle for long enough yet.
        }
        edge.run([](EdgeServer& target) { CHECK(target.connectionCount() <= 4); });
    }
    CHECK(response.ends_with("served"));
    CHECK(limited(edge, CallerLimit::ConnectionEnded) > 0);
}
