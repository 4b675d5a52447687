#include "standin/HttpStandIn.h"

#include "StandInServer.h"
#include "runtime/Task.h"

namespace sequoia::standin {

HttpStandIn::HttpStandIn()
    : task(std::make_unique<runtime::Task>("standin"))
{
}

Result<std::unique_ptr<HttpStandIn>> HttpStandIn::start(
    const StandInOptions& options, const Clock& clock, timeline::EventLog& events)
{
    auto log = ExecutionLog::open(options.journal);
    if (!succeeded(log))
        return errorOf(log);
    std::unique_ptr<HttpStandIn> standIn(new HttpStandIn);
    Result<Success> listening = Success {};
    standIn->task->run([&] {
        standIn->server = std::make_unique<StandInServer>(options, clock, events, std::move(valueOf(log)));
        listening = standIn->server->listen();
        standIn->boundPort = standIn->server->port();
    });
    if (!succeeded(listening))
        return errorOf(listening);
    return standIn;
}

HttpStandIn::~HttpStandIn()
{
    this->task->run([this] { this->server.reset(); });
}

void HttpStandIn::stop(std::function<void()> finished)
{
    this->task->post([this, finished = std::move(finished)] { this->server->stop(finished); });
}

}
