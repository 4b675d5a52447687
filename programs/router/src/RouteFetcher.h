#pragma once

#include "core/Clock.h"
#include "routing/RouteStore.h"
#include "rpc/Client.h"
#include "runtime/Task.h"
#include "timeline/EventLog.h"

#include <map>
#include <memory>

namespace sequoia::router {

//! Keeps the routes of all services up to date by long polls to the controllers. Lives on the control task.
class RouteFetcher {
public:
    struct Options {
        std::vector<std::string> services;
        std::vector<std::string> controllers; //!< In order of preference.
        Duration routeValidity {};
    };

    using Publish = std::function<void(std::shared_ptr<const routing::RouteSnapshot>)>;

    //! `publish` gets each new snapshot on the control task.
    RouteFetcher(Options options, const Clock& clock, timeline::EventLog& events, runtime::Task& task, Publish publish);
    ~RouteFetcher();

    //! Asks once more at once, next to the long poll, whether there are newer routes.
    void refresh(const std::string& service);

    const routing::RouteStore& routes() const { return this->store; }

private:
    struct Poll {
        std::size_t controller = 0;
        unsigned failures = 0;
        std::uint64_t number = 0; //!< Of the newest long poll; the answer to an older one starts no other.
        bool refreshing = false;
        std::unique_ptr<runtime::Timer> pause;
    };

    enum class Kind {
        LongPoll,
        Refresh,
    };

    void fetch(const std::string& service, Kind kind);
    void onReply(const std::string& service, Kind kind, std::uint64_t number, const routing::RouteVersion& known,
        TimePoint requestedAt, const Result<wire::FetchRoutesReply>& reply);
    void onFailure(const std::string& service, Kind kind, const Error& error);
    bool takeIn(const std::string& service, const routing::RouteVersion& known, TimePoint requestedAt,
        const wire::FetchRoutesReply& reply);

    Options options;
    const Clock& clock;
    timeline::EventLog& events;
    runtime::Task& task;
    Publish publish;
    routing::RouteStore store;
    std::map<std::string, Poll> polls;
    std::shared_ptr<RouteFetcher*> self; //!< Emptied on destruction; answers that arrive later find no fetcher.
    std::vector<std::unique_ptr<rpc::Client>> clients; //!< Destroyed first; cancels the calls in progress.
};

}
