#include "RouteFetcher.h"

#include <algorithm>
#include <cassert>

namespace sequoia::router {

namespace {

// A poll renews the validity of the routes when it ends, counted from its start. With a third of the validity
// as its length, two polls may fail before routes expire.
constexpr int pollsPerValidity = 3;
constexpr Duration answerAllowance = std::chrono::milliseconds(500);
constexpr Duration retryPause = std::chrono::milliseconds(100);

}

RouteFetcher::RouteFetcher(
    Options given, const Clock& time, timeline::EventLog& log, runtime::Task& owner, Publish receiver)
    : options(std::move(given))
    , clock(time)
    , events(log)
    , task(owner)
    , publish(std::move(receiver))
    , self(std::make_shared<RouteFetcher*>(this))
{
    assert(!this->options.controllers.empty());
    for (const auto& address : this->options.controllers)
        this->clients.push_back(std::make_unique<rpc::Client>(address));
    for (const auto& service : this->options.services)
        this->fetch(service, Kind::LongPoll);
}

RouteFetcher::~RouteFetcher()
{
    *this->self = nullptr;
}

void RouteFetcher::refresh(const std::string& service)
{
    auto& poll = this->polls.at(service);
    // One call answers all requests that doubt the routes at the same time.
    if (poll.refreshing)
        return;
    poll.refreshing = true;
    this->fetch(service, Kind::Refresh);
}

void RouteFetcher::fetch(const std::string& service, Kind kind)
{
    auto& poll = this->polls[service];
    auto known = this->store.version(service);
    auto wait = kind == Kind::LongPoll ? this->options.routeValidity / pollsPerValidity : Duration::zero();
    wire::FetchRoutesRequest request;
    request.set_partition(service);
    request.set_known_term(known.term);
    request.set_known_version(known.version);
    request.set_wait_ms(toMillis(wait));
    *request.mutable_time() = this->events.hybridClock().tick();
    if (kind == Kind::LongPoll)
        ++poll.number;
    auto requestedAt = this->clock.now();
    auto& client = *this->clients[poll.controller % this->clients.size()];
    client.fetchRoutes(request, wait + answerAllowance,
        [fetcher = this->self, &owner = this->task, service, kind, number = poll.number, known, requestedAt](
            Result<wire::FetchRoutesReply> reply) {
            owner.post([=, reply = std::move(reply)] {
                if (*fetcher)
                    (*fetcher)->onReply(service, kind, number, known, requestedAt, reply);
            });
        });
}

void RouteFetcher::onReply(const std::string& service, Kind kind, std::uint64_t number,
    const routing::RouteVersion& known, TimePoint requestedAt, const Result<wire::FetchRoutesReply>& reply)
{
    auto& poll = this->polls.at(service);
    if (kind == Kind::Refresh)
        poll.refreshing = false;
    if (!succeeded(reply)) {
        this->onFailure(service, kind, errorOf(reply));
        return;
    }
    this->events.hybridClock().observe(valueOf(reply).time());
    bool taken = this->takeIn(service, known, requestedAt, valueOf(reply));
    if (kind == Kind::Refresh || number != poll.number)
        return;
    poll.failures = 0;
    if (taken) {
        this->fetch(service, Kind::LongPoll);
        return;
    }
    // The controller knows no table that can be used: ask again, but not in a tight loop.
    poll.pause = std::make_unique<runtime::Timer>(
        retryPause, runtime::Timer::Repeat::Once, [this, service] { this->fetch(service, Kind::LongPoll); });
}

bool RouteFetcher::takeIn(const std::string& service, const routing::RouteVersion& known, TimePoint requestedAt,
    const wire::FetchRoutesReply& reply)
{
    auto validity = std::min(fromMillis(reply.validity_left_ms()), this->options.routeValidity);
    if (!reply.changed()) {
        if (this->store.renew(service, known, requestedAt, validity) != routing::RouteStore::Effect::Renewed)
            return false;
        this->publish(this->store.snapshot());
        return true;
    }
    // A new holder publishes an empty table until its first assignment.
    if (reply.table().routes().empty())
        return false;
    auto effect = this->store.update(service, reply.table(), requestedAt, validity);
    if (!succeeded(effect)) {
        this->events.record(timeline::Severity::Error, "routes_refused",
            { { "service", service }, { "reason", errorOf(effect).message }, { "remedy", errorOf(effect).remedy } });
        return false;
    }
    if (valueOf(effect) == routing::RouteStore::Effect::Ignored)
        return false;
    if (valueOf(effect) == routing::RouteStore::Effect::Replaced)
        this->events.record(timeline::Severity::Info, "routes_replaced",
            { { "service", service }, { "term", std::to_string(reply.table().term()) },
                { "version", std::to_string(reply.table().version()) },
                { "routes", std::to_string(reply.table().routes_size()) } });
    this->publish(this->store.snapshot());
    return true;
}

void RouteFetcher::onFailure(const std::string& service, Kind kind, const Error& error)
{
    auto& poll = this->polls.at(service);
    if (kind == Kind::Refresh)
        return;
    // The first failure is worth a line; a controller that stays away would fill the log.
    if (poll.failures++ == 0)
        this->events.record(timeline::Severity::Warn, "fetch_routes_failed",
            { { "service", service },
                { "controller", this->options.controllers[poll.controller % this->options.controllers.size()] },
                { "reason", error.message } });
    ++poll.controller;
    poll.pause = std::make_unique<runtime::Timer>(
        retryPause, runtime::Timer::Repeat::Once, [this, service] { this->fetch(service, Kind::LongPoll); });
}

}
