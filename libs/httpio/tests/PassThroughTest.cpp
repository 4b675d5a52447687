#include "GatewayFixture.h"

#include <doctest/doctest.h>

using namespace sequoia;
using namespace sequoia::httpio;
using namespace sequoia::httpio::test;
using namespace sequoia::test;

// Guards against headers or bytes that change on their way, and hop-by-hop headers that leak.
TEST_CASE("a request and its response pass through unchanged")
{
    std::string seen;
    FakeServer server({ [&](Connection& connection) {
        seen = connection.readMessage();
        connection.write(answerTo(seen, std::string("\x1f\x8b\0bytes", 8), "201 Made",
            "Content-Encoding: gzip\r\nSet-Cookie: a=1\r\nSet-Cookie: b=2\r\nX-Server: yes\r\n"
            "Connection: X-Hop\r\nX-Hop: secret\r\nSequoia-Outcome: unknown\r\n"));
        connection.readToEnd();
    } });
    GatewayFixture gateway(server.address());
    auto response = gateway.exchange(requestText("POST",
        "Sequoia-Deadline-Ms: 15000\r\nCookie: c=1\r\nAccept-Encoding: br\r\nX-Caller: yes\r\nKeep-Alive: 5\r\n"
        "Content-Type: text/x\r\nSequoia-Request-Id: forged\r\nSequoia-Slice-Epoch: 9.9\r\nAuthorization: Basic "
        "eA==\r\n",
        "hello"));

    CHECK(seen.starts_with("POST /path/a%2Fb?q=%20x HTTP/1.1\r\n"));
    CHECK(seen.ends_with("\r\n\r\nhello"));
    CHECK(headerIn(seen, "Host") == "example.test");
    CHECK(headerIn(seen, "X-Caller") == "yes");
    CHECK(headerIn(seen, "Cookie") == "c=1");
    CHECK(headerIn(seen, "Accept-Encoding") == "br");
    CHECK(headerIn(seen, "Authorization") == "Basic eA==");
    CHECK(headerIn(seen, "Content-Type") == "text/x");
    CHECK(headerIn(seen, "Content-Length") == "5");
    CHECK(headerIn(seen, "Sequoia-Slice-Epoch") == "3.7");
    CHECK(headerIn(seen, "Sequoia-Key") == "plate-17");
    CHECK(headerIn(seen, "Keep-Alive").empty());
    CHECK(headerIn(seen, "User-Agent").empty());
    auto left = std::stoi("0" + headerIn(seen, "Sequoia-Deadline-Ms"));
    CHECK(left >= 1);
    CHECK(left <= 15000);
    auto id = headerIn(seen, "Sequoia-Request-Id");
    CHECK(id.size() == 32);

    CHECK(response.starts_with("HTTP/1.1 201 Made\r\n"));
    CHECK(response.ends_with(std::string("\r\n\r\n\x1f\x8b\0bytes", 12)));
    CHECK(headerIn(response, "Content-Encoding") == "gzip");
    CHECK(response.find("Set-Cookie: a=1\r\nSet-Cookie: b=2\r\n") != std::string::npos);
    CHECK(headerIn(response, "X-Server") == "yes");
    CHECK(headerIn(response, "X-Hop").empty());
    CHECK(headerIn(response, "Sequoia-Outcome") == "answered");
    CHECK(headerIn(response, "Sequoia-Request-Id") == id);
    CHECK(server.faults().empty());
}

// Guards against a redirect that is followed, and statuses without a body.
TEST_CASE("every status of the server is passed on")
{
    for (const char* status : { "302 Found", "401 Unauthorized", "404 Not Found", "500 Broken", "503 Unavailable" }) {
        FakeServer server({ answering("text", status, "Location: http://127.0.0.1:1/\r\n") });
        GatewayFixture gateway(server.address());
        auto response = gateway.exchange(requestText("GET"));
        CHECK(response.starts_with(std::string("HTTP/1.1 ") + status + "\r\n"));
        CHECK(headerIn(response, "Sequoia-Outcome") == "answered");
        CHECK(response.ends_with("\r\n\r\ntext"));
        CHECK(server.connections() == 1);
    }
}

TEST_CASE("responses to HEAD and with status 204 and 304 have no body")
{
    for (const char* status : { "200 OK", "204 No Content", "304 Not Modified" }) {
        FakeServer server({ [&](Connection& connection) {
            auto head = connection.readMessage();
            connection.write("HTTP/1.1 " + std::string(status)
                + "\r\nSequoia-Request-Id: " + headerIn(head, "Sequoia-Request-Id") + "\r\nETag: \"5\"\r\n"
                + (status[0] == '2' && status[2] == '0' ? "Content-Length: 9\r\n\r\n" : "\r\n"));
            connection.readToEnd();
        } });
        GatewayFixture gateway(server.address());
        auto response = gateway.exchange(requestText(status[2] == '0' ? "HEAD" : "GET"));
        CHECK(response.starts_with(std::string("HTTP/1.1 ") + status + "\r\n"));
        CHECK(response.ends_with("\r\n\r\n"));
        CHECK(headerIn(response, "ETag") == "\"5\"");
        if (status[2] == '0')
            CHECK(headerIn(response, "Content-Length") == "9");
    }
}

// Guards against a response that goes to the wrong request of a kept-alive connection.
TEST_CASE("requests on one caller's connection get their own responses")
{
    FakeServer server({ [](Connection& connection) {
        for (const char* body : { "first", "second" })
            connection.write(answerTo(connection.readMessage(), body));
        connection.readToEnd();
    } });
    GatewayFixture gateway(server.address());
    auto connection = gateway.connect();
    for (const char* body : { "first", "second" }) {
        connection.write("GET / HTTP/1.1\r\nHost: h\r\nSequoia-Service: booking\r\nSequoia-Key: k\r\n\r\n");
        CHECK(connection.readMessage().ends_with(body));
    }
    CHECK(server.connections() == 1);
}

TEST_CASE("a chunked response is passed on with its end")
{
    FakeServer server({ [](Connection& connection) {
        auto head = connection.readMessage();
        connection.write("HTTP/1.1 200 OK\r\nSequoia-Request-Id: " + headerIn(head, "Sequoia-Request-Id")
            + "\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n");
        connection.write("6\r\n world\r\n0\r\n\r\n");
        connection.readToEnd();
    } });
    GatewayFixture gateway(server.address());
    auto response = gateway.exchange(requestText("GET"));
    CHECK(headerIn(response, "Transfer-Encoding") == "chunked");
    CHECK(response.ends_with("0\r\n\r\n"));
    CHECK(response.find("hello") != std::string::npos);
    CHECK(response.find("world") != std::string::npos);
}

// Guards against a body that is collected in memory while the server does not read.
TEST_CASE("an upload of 32 MB passes with bounded memory, announced or chunked")
{
    constexpr std::size_t pieceBytes = 1 << 20;
    constexpr std::size_t pieces = 32;
    const std::string piece(pieceBytes, 'u');
    for (bool chunked : { false, true }) {
        std::promise<void> startReading;
        std::size_t received = 0;
        FakeServer server({ [&](Connection& connection) {
            auto head = connection.readHead();
            startReading.get_future().wait();
            if (chunked) {
                std::string size;
                for (;;) {
                    size.clear();
                    while (!size.ends_with("\r\n"))
                        size += connection.readExactly(1);
                    auto length = std::stoul(size, nullptr, 16);
                    connection.readExactly(length + 2);
                    received += length;
                    if (length == 0)
                        break;
                }
            } else {
                for (std::size_t i = 0; i < pieces; ++i)
                    received += connection.readExactly(pieceBytes).size();
            }
            connection.write(answerTo(head, "stored"));
            connection.readToEnd();
        } });
        GatewayFixture gateway(server.address());
        auto connection = gateway.connect();
        std::thread caller([&] {
            connection.write("PUT /photo HTTP/1.1\r\nHost: h\r\nSequoia-Service: booking\r\nSequoia-Key: k\r\n");
            connection.write(chunked ? "Transfer-Encoding: chunked\r\n\r\n"
                                     : "Content-Length: " + std::to_string(pieces * pieceBytes) + "\r\n\r\n");
            for (std::size_t i = 0; i < pieces; ++i)
                connection.write(chunked ? "100000\r\n" + piece + "\r\n" : piece);
            if (chunked)
                connection.write("0\r\n\r\n");
        });
        // The server reads only when the gateway has filled its buffer and made the caller wait.
        while (gateway.peakBodyBytes() < BodyPipe::highWater)
            std::this_thread::yield();
        startReading.set_value();
        CHECK(connection.readMessage().ends_with("stored"));
        caller.join();
        CHECK(received == pieces * pieceBytes);
        constexpr std::size_t readBlock = 64 * 1024;
        CHECK(gateway.peakBodyBytes() <= BodyPipe::highWater + BodyPipe::replayLimit + readBlock);
    }
}

TEST_CASE("health and metrics are answered by the gateway itself")
{
    FakeServer server({});
    GatewayFixture gateway(server.address());
    CHECK(gateway.exchange("GET /sequoia/health HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
              .starts_with("HTTP/1.1 200 OK\r\n"));
    CHECK(gateway.exchange("GET /sequoia/metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
              .ends_with("sequoia_test 1\n"));
    CHECK(server.connections() == 0);
}

// Guards against a stop that breaks requests in progress, and new work after it has begun.
TEST_CASE("a stop finishes requests in progress and refuses new ones")
{
    std::promise<void> arrived;
    std::promise<void> mayAnswer;
    FakeServer server({ answering("warm-up"), [&](Connection& connection) {
                           auto head = connection.readMessage();
                           arrived.set_value();
                           mayAnswer.get_future().wait();
                           connection.write(answerTo(head, "late"));
                           connection.readToEnd();
                       } });
    GatewayFixture gateway(server.address());
    auto keptAlive = gateway.connect();
    const std::string request = "POST / HTTP/1.1\r\nHost: h\r\nSequoia-Service: booking\r\nSequoia-Key: k\r\n"
                                "Content-Length: 1\r\n\r\nx";
    keptAlive.write(request);
    CHECK(keptAlive.readMessage().ends_with("warm-up"));
    auto inProgress = gateway.connect();
    inProgress.write(request);
    arrived.get_future().wait();
    auto drained = gateway.stop();
    CHECK_THROWS(gateway.connect());
    keptAlive.write(request);
    auto refused = keptAlive.readToEnd();
    CHECK(refused.starts_with("HTTP/1.1 503 "));
    CHECK(headerIn(refused, "Sequoia-Outcome") == "not-run");
    CHECK(headerIn(refused, "Connection") == "close");
    CHECK(drained.wait_for(std::chrono::seconds(0)) == std::future_status::timeout);
    mayAnswer.set_value();
    auto answered = inProgress.readToEnd();
    CHECK(answered.ends_with("late"));
    CHECK(headerIn(answered, "Connection") == "close");
    drained.get();
    CHECK(gateway.requestsInProgress() == 0);
}

// Guards against a second worker that cannot listen: g_socket_bind() turns SO_REUSEPORT off.
TEST_CASE("several workers listen on one port")
{
    class Ignore final : public CallerHandler {
        void onRequest(std::shared_ptr<CallerExchange> /*exchange*/) override { }
    };
    Ignore handler;
    runtime::Task task("listeners");
    task.run([&] {
        CallerServer first(handler);
        CallerServer second(handler);
        REQUIRE(succeeded(first.listen("127.0.0.1:0")));
        CHECK(succeeded(second.listen("127.0.0.1:" + std::to_string(first.port()))));
    });
}
