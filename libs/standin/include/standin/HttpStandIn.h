#pragma once

#include "core/Clock.h"
#include "core/Error.h"
#include "standin/Behaviour.h"
#include "timeline/EventLog.h"

#include <functional>
#include <memory>

namespace sequoia::runtime {
class Task;
}

namespace sequoia::standin {

class StandInServer;

//! The backend server stand-in: an HTTP service on its own task.
class HttpStandIn {
public:
    static Result<std::unique_ptr<HttpStandIn>> start(
        const StandInOptions& options, const Clock& clock, timeline::EventLog& events);
    ~HttpStandIn();

    HttpStandIn(const HttpStandIn&) = delete;
    HttpStandIn& operator=(const HttpStandIn&) = delete;

    std::uint16_t port() const { return this->boundPort; }

    //! Leaves the host list if it is registered, drains, and calls `finished` on the task.
    void stop(std::function<void()> finished);

private:
    HttpStandIn();

    std::unique_ptr<runtime::Task> task;
    std::unique_ptr<StandInServer> server;
    std::uint16_t boundPort = 0;
};

}
