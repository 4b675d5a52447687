#include "rpc/Client.h"
#include "rpc/Server.h"

#include <doctest/doctest.h>
#include <future>

using namespace sequoia;

namespace {

constexpr Duration callLimit = std::chrono::seconds(20);

std::string loopback(const rpc::Server& server)
{
    return "127.0.0.1:" + std::to_string(server.port());
}

template <typename Reply> std::pair<rpc::Callback<Reply>, std::future<Result<Reply>>> awaitable()
{
    auto promise = std::make_shared<std::promise<Result<Reply>>>();
    auto future = promise->get_future();
    return { [promise](Result<Reply> result) { promise->set_value(std::move(result)); }, std::move(future) };
}

//! Tells when the thread that set `ended` has come to its end.
struct ThreadEnd {
    std::shared_ptr<std::promise<void>> ended;
    ~ThreadEnd()
    {
        if (this->ended)
            this->ended->set_value();
    }
};

thread_local ThreadEnd threadEnd;

}

// Guards against a reply that is given later, on another thread, and gets lost.
TEST_CASE("a handler may reply later on another thread")
{
    rpc::Handlers handlers;
    std::thread replier;
    handlers.fetchRoutes = [&](const wire::FetchRoutesRequest& request, auto reply) {
        replier = std::thread([version = request.known_version(), reply] {
            wire::FetchRoutesReply message;
            message.set_record_version(version + 1);
            reply(message);
        });
    };
    auto server = rpc::Server::start("127.0.0.1:0", handlers);
    REQUIRE(succeeded(server));
    rpc::Client client(loopback(*valueOf(server)));
    wire::FetchRoutesRequest request;
    request.set_known_version(41);
    auto [callback, reply] = awaitable<wire::FetchRoutesReply>();
    client.fetchRoutes(request, callLimit, callback);
    auto result = reply.get();
    replier.join();
    REQUIRE(succeeded(result));
    CHECK(valueOf(result).record_version() == 42);
}

TEST_CASE("a call without a handler and a call to nobody end in an error")
{
    auto server = rpc::Server::start("127.0.0.1:0", {});
    REQUIRE(succeeded(server));
    auto address = loopback(*valueOf(server));
    rpc::Client client(address);
    auto [callback, reply] = awaitable<wire::StatusReply>();
    client.status({}, callLimit, callback);
    auto unimplemented = reply.get();
    REQUIRE(!succeeded(unimplemented));
    CHECK(errorOf(unimplemented).kind == ErrorKind::InvalidArgument);
    valueOf(server).reset();
    auto [secondCallback, secondReply] = awaitable<wire::StatusReply>();
    client.status({}, callLimit, secondCallback);
    CHECK(!succeeded(secondReply.get()));
}

// Guards against a callback that runs after its owner is gone.
TEST_CASE("destroying a client ends its calls in progress")
{
    rpc::Handlers handlers;
    std::promise<void> arrived;
    std::function<void(const wire::StatusReply&)> pending;
    handlers.status = [&](const wire::StatusRequest&, auto reply) {
        pending = reply;
        arrived.set_value();
    };
    auto server = rpc::Server::start("127.0.0.1:0", handlers);
    REQUIRE(succeeded(server));
    auto client = std::make_unique<rpc::Client>(loopback(*valueOf(server)));
    auto [callback, reply] = awaitable<wire::StatusReply>();
    client->status({}, callLimit, callback);
    arrived.get_future().wait();
    client.reset();
    CHECK(!succeeded(reply.get()));
    pending({});
}

// Guards against a call that drops the last reference to its channel on gRPC's own thread, after the client is gone:
// the channel's queue then destroys itself under that thread. AddressSanitizer saw it as a double free.
TEST_CASE("destroying the last client and server ends gRPC's threads")
{
    // How long what the callback owns lives on; without the guard, the client is destroyed meanwhile.
    constexpr Duration releaseDelay = std::chrono::seconds(1);
    rpc::Handlers handlers;
    handlers.status = [](const wire::StatusRequest&, auto reply) { reply({}); };
    auto server = rpc::Server::start("127.0.0.1:0", handlers);
    REQUIRE(succeeded(server));
    auto client = std::make_unique<rpc::Client>(loopback(*valueOf(server)));
    auto ended = std::make_shared<std::promise<void>>();
    std::promise<void> clientGone;
    auto gone = clientGone.get_future().share();
    auto [callback, reply] = awaitable<wire::StatusReply>();
    {
        std::shared_ptr<void> owned(nullptr, [gone, releaseDelay](void*) { gone.wait_for(releaseDelay); });
        client->status({}, callLimit, [owned, ended, callback = callback](const Result<wire::StatusReply>& result) {
            threadEnd.ended = ended;
            callback(result);
        });
    }
    CHECK(succeeded(reply.get()));
    // The server shares gRPC's queue and would keep it alive.
    valueOf(server).reset();
    client.reset();
    CHECK(ended->get_future().wait_for(Duration(0)) == std::future_status::ready);
    clientGone.set_value();
}
