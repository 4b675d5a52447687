#include "Oracle.h"

#include "core/ManualClock.h"
#include "platform_adapter/LeaseOrderSender.h"

#include <doctest/doctest.h>

using namespace sequoia;
using namespace sequoia::soak;

namespace {

//! An oracle with two servers that are driven by hand.
class Judged {
public:
    Judged()
    {
        auto any = valueOf(net::SocketAddress::parse("127.0.0.1:0"));
        for (auto* server : { &this->first, &this->second }) {
            REQUIRE(succeeded(server->listen(any)));
            this->oracle.addServer(*server);
        }
    }

    platform_standin::ReceivedRequest send(const std::string& id, fleet::RequestKind kind)
    {
        SentRequest sent { { id, "POST", "/x/", "body", 7 }, kind, "keyed" };
        this->oracle.sent(sent);
        return sent.content;
    }

    void grant(const platform_standin::ServerStandIn& server, fleet::FencingToken fence)
    {
        keyspace::LeaseOrder order;
        order.server = { server.options().id, 1 };
        order.address = server.address();
        order.keys = { 0, 10 };
        order.fence = fence;
        order.leaseDuration = std::chrono::seconds(4);
        bool accepted = false;
        this->orders.send(order, [&](const keyspace::LeaseOrderResponse& answer) {
            accepted = answer.result == keyspace::LeaseOrderResult::Accepted;
        });
        while (!accepted)
            g_main_context_iteration(g_main_context_default(), TRUE);
    }

    ManualClock clock;
    net::Reactor reactor { g_main_context_default(), this->clock };
    std::vector<std::string> promises;
    Oracle oracle { this->clock,
        [this](const std::string& promise, const std::string&) { this->promises.push_back(promise); } };
    platform_standin::ServerStandIn first { this->reactor,
        { "s1", "keyed", "dc", 2, 8, std::chrono::milliseconds(5), true, false }, 1, this->oracle };
    platform_standin::ServerStandIn second { this->reactor,
        { "s2", "keyed", "dc", 2, 8, std::chrono::milliseconds(5), true, false }, 2, this->oracle };
    platform_adapter::LeaseOrderSender orders { this->reactor };
};

using Promises = std::vector<std::string>;
constexpr auto booking = fleet::RequestKind::NonIdempotent;

}

TEST_CASE("what keeps the promises is not reported")
{
    Judged judged;
    auto request = judged.send("a", booking);
    judged.oracle.onRequestStarted(judged.first, request);
    judged.oracle.answered("a", 200, true, "a", platform_standin::ServerStandIn::expectedBody(request));
    auto read = judged.send("b", fleet::RequestKind::Idempotent);
    judged.oracle.onRequestStarted(judged.first, read);
    judged.oracle.onRequestStarted(judged.second, read);
    judged.oracle.answered("b", 503, false, "", "");
    judged.oracle.onKeysGranted(judged.first, { 0, 10 }, 1);
    judged.oracle.onKeysGranted(judged.first, { 0, 10 }, 1);
    judged.oracle.onKeysGranted(judged.second, { 0, 10 }, 2);
    CHECK(judged.promises.empty());
}

TEST_CASE("a second run of what must not be repeated is reported")
{
    Judged judged;
    auto request = judged.send("a", booking);
    judged.oracle.onRequestStarted(judged.first, request);
    judged.oracle.onRequestStarted(judged.second, request);
    CHECK(judged.promises == Promises { "twice" });
}

TEST_CASE("a refusal is reported when the request has run, and when it runs later")
{
    Judged judged;
    auto ran = judged.send("a", booking);
    judged.oracle.onRequestStarted(judged.first, ran);
    judged.oracle.answered("a", 503, false, "", "");
    auto runsLater = judged.send("b", booking);
    judged.oracle.answered("b", 429, false, "", "");
    judged.oracle.onRequestStarted(judged.first, runsLater);
    CHECK(judged.promises == Promises { "refused", "refused" });
}

TEST_CASE("answers of other requests, without signature, altered or invented are reported")
{
    Judged judged;
    auto request = judged.send("a", booking);
    auto body = platform_standin::ServerStandIn::expectedBody(request);
    judged.oracle.answered("a", 200, true, "a", body);
    judged.oracle.onRequestStarted(judged.first, request);
    judged.oracle.answered("a", 200, false, "a", body);
    judged.oracle.answered("a", 200, true, "b", body);
    judged.oracle.answered("a", 200, true, "a", body.substr(1));
    CHECK(judged.promises == Promises { "mixed", "mixed", "mixed", "mixed" });
}

TEST_CASE("requests that nobody sent, or that were altered or misdirected, are reported")
{
    Judged judged;
    judged.oracle.onRequestStarted(judged.first, { "unknown", "GET", "/x/", "", 7 });
    auto request = judged.send("a", fleet::RequestKind::Idempotent);
    request.target = "/y/";
    judged.oracle.onRequestStarted(judged.first, request);
    SentRequest elsewhere { { "b", "GET", "/x/", "", 7 }, fleet::RequestKind::Idempotent, "plain" };
    judged.oracle.sent(elsewhere);
    judged.oracle.onRequestStarted(judged.first, elsewhere.content);
    CHECK(judged.promises == Promises { "unasked", "unasked", "route" });
}

TEST_CASE("a key that goes to another server under a fence that is not higher is reported")
{
    Judged judged;
    judged.oracle.onKeysGranted(judged.first, { 0, 10 }, 5);
    judged.oracle.onKeysGranted(judged.second, { 10, 20 }, 5);
    CHECK(judged.promises == Promises { "fence" });
}

TEST_CASE("a run at a server that has left is reported, unless something was disturbed")
{
    Judged judged;
    judged.clock.advance(std::chrono::seconds(10));
    judged.oracle.leaving("s1", std::chrono::seconds(2));
    judged.clock.advance(std::chrono::seconds(3));
    judged.oracle.onRequestStarted(judged.first, judged.send("a", booking));
    CHECK(judged.promises == Promises { "drain" });
    judged.oracle.disturbed(std::chrono::seconds(1));
    judged.oracle.onRequestStarted(judged.first, judged.send("b", booking));
    judged.oracle.startedAnew("s1");
    judged.oracle.onRequestStarted(judged.first, judged.send("c", booking));
    CHECK(judged.promises.size() == 1);
}

TEST_CASE("a run in an evacuated data centre is reported after the bound, until the evacuation ends")
{
    Judged judged;
    auto run = [&](const char* id) {
        judged.oracle.onRequestStarted(judged.first, judged.send(id, fleet::RequestKind::Idempotent));
    };
    judged.clock.advance(std::chrono::seconds(10));
    judged.oracle.evacuated("elsewhere", std::chrono::seconds(1));
    judged.oracle.evacuated(judged.first.options().dataCentre, std::chrono::seconds(5));
    judged.clock.advance(std::chrono::seconds(4));
    run("a");
    CHECK(judged.promises.empty());
    judged.clock.advance(std::chrono::seconds(2));
    run("b");
    CHECK(judged.promises == Promises { "evacuation" });
    judged.oracle.evacuationEnded(judged.first.options().dataCentre);
    run("c");
    CHECK(judged.promises.size() == 1);
}

TEST_CASE("a run for a key that two servers hold is reported, unless a thawed host has just ordered it")
{
    Judged judged;
    judged.clock.advance(std::chrono::seconds(10));
    judged.grant(judged.first, 1);
    judged.oracle.onRequestStarted(judged.first, judged.send("a", booking));
    CHECK(judged.promises.empty());
    judged.grant(judged.second, 2);
    judged.oracle.onRequestStarted(judged.first, judged.send("b", booking));
    CHECK(judged.promises == Promises { "owner" });
    judged.oracle.thawed();
    judged.grant(judged.second, 3);
    judged.oracle.onRequestStarted(judged.first, judged.send("c", booking));
    CHECK(judged.promises.size() == 1);
    judged.clock.advance(std::chrono::seconds(5));
    judged.oracle.onRequestStarted(judged.first, judged.send("d", booking));
    CHECK(judged.promises.size() == 1);
}
