#include "Fleet.h"

#include "platform/HttpPlatformClient.h"
#include "runtime/Task.h"
#include "timeline/EventLog.h"

#include <algorithm>
#include <future>

namespace sequoia::ctl {

namespace {

//! Starts a call with a callback and returns the future of what the callback gets.
template <typename T, typename Start> std::future<Result<T>> await(Start start)
{
    auto promise = std::make_shared<std::promise<Result<T>>>();
    start([promise](Result<T> result) { promise->set_value(std::move(result)); });
    return promise->get_future();
}

bool isProcess(const wire::Host& host)
{
    return (host.kind() == wire::HOST_KIND_ROUTER || host.kind() == wire::HOST_KIND_CONTROLLER)
        && host.state() != wire::HOST_STATE_GONE && !host.address().empty();
}

}

Fleet::Fleet(const operatorcli::Options& chosen)
    : options(chosen)
    , processes(chosen.processes)
{
}

Result<wire::HostList> Fleet::readHosts() const
{
    if (this->options.platform.empty())
        return Error { ErrorKind::Unavailable, "no platform address is given", "add --platform=IP:port" };
    runtime::Task task("platform");
    std::unique_ptr<platform::HttpPlatformClient> client;
    auto reply = await<wire::HostList>([&](const auto& callback) {
        task.run([&] {
            client = std::make_unique<platform::HttpPlatformClient>(
                platform::HttpPlatformOptions { this->options.platform, this->options.timeout });
            client->readHosts(callback);
        });
    });
    auto result = reply.get();
    task.run([&] { client.reset(); });
    return result;
}

std::optional<Error> Fleet::discover()
{
    auto result = this->readHosts();
    if (!succeeded(result))
        return errorOf(result);
    this->hostList = valueOf(result);
    for (const auto& host : this->hostList->hosts()) {
        bool known = std::find(this->processes.begin(), this->processes.end(), host.address()) != this->processes.end();
        if (isProcess(host) && !known)
            this->processes.push_back(host.address());
    }
    return std::nullopt;
}

operatorcli::StatusView Fleet::status()
{
    std::vector<std::future<Result<wire::StatusReply>>> replies;
    for (const auto& address : this->processes) {
        replies.push_back(await<wire::StatusReply>(
            [&](const auto& callback) { this->client(address).status({}, this->options.timeout, callback); }));
    }
    operatorcli::StatusView view;
    for (std::size_t index = 0; index < replies.size(); ++index) {
        auto result = replies[index].get();
        if (succeeded(result)) {
            view.processes.push_back(valueOf(result));
            // The address that answered is the one to use, whatever the process listens on.
            view.processes.back().mutable_process()->set_address(this->processes[index]);
        } else
            view.unreachable.push_back(this->processes[index] + ": " + errorOf(result).message);
    }
    return view;
}

operatorcli::TimelineView Fleet::events()
{
    std::vector<std::future<Result<wire::FetchEventsReply>>> replies;
    for (const auto& address : this->processes) {
        replies.push_back(await<wire::FetchEventsReply>(
            [&](const auto& callback) { this->client(address).fetchEvents({}, this->options.timeout, callback); }));
    }
    operatorcli::TimelineView view;
    std::vector<std::vector<wire::Event>> perProcess;
    for (std::size_t index = 0; index < replies.size(); ++index) {
        auto result = replies[index].get();
        const auto& address = this->processes[index];
        if (!succeeded(result)) {
            view.unreachable.push_back(address + ": " + errorOf(result).message);
            continue;
        }
        const auto& reply = valueOf(result);
        perProcess.emplace_back(reply.events().begin(), reply.events().end());
        if (reply.dropped() > 0)
            view.incomplete.push_back(
                address + " has already discarded " + std::to_string(reply.dropped()) + " older events");
    }
    view.events = timeline::mergeEvents(std::move(perProcess));
    return view;
}

Result<wire::FetchRoutesReply> Fleet::routes(const std::string& address, const std::string& service)
{
    wire::FetchRoutesRequest request;
    request.set_partition(service);
    return await<wire::FetchRoutesReply>([&](const auto& callback) {
        this->client(address).fetchRoutes(request, this->options.timeout, callback);
    }).get();
}

Result<wire::OperatorReply> Fleet::move(const std::string& address, const wire::MoveRequest& request)
{
    return await<wire::OperatorReply>([&](const auto& callback) {
        this->client(address).move(request, this->options.timeout, callback);
    }).get();
}

Result<wire::OperatorReply> Fleet::confirmGone(const std::string& address, const wire::ConfirmGoneRequest& request)
{
    return await<wire::OperatorReply>([&](const auto& callback) {
        this->client(address).confirmGone(request, this->options.timeout, callback);
    }).get();
}

rpc::Client& Fleet::client(const std::string& address)
{
    auto& entry = this->clients[address];
    if (!entry)
        entry = std::make_unique<rpc::Client>(address);
    return *entry;
}

}
