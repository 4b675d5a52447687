#include "ControllerService.h"

namespace sequoia::controller {

Result<std::unique_ptr<runtime::Program>> ControllerService::start(const runtime::ProgramContext& context)
{
    if (context.settings.services().empty())
        return Error { ErrorKind::InvalidSettings, "no service is configured",
            "add at least one section [service NAME] to the settings" };
    std::unique_ptr<ControllerService> service(new ControllerService(context));
    auto started = rpc::Server::start(context.settings.text("controller", "listen"), service->handlers());
    if (!succeeded(started))
        return errorOf(started);
    service->server = std::move(valueOf(started));
    return std::unique_ptr<runtime::Program>(std::move(service));
}

ControllerService::ControllerService(const runtime::ProgramContext& context)
    : task("controller")
{
    this->task.run([&] { this->controller = std::make_unique<Controller>(context, this->task); });
}

ControllerService::~ControllerService()
{
    this->task.run([this] { this->controller->stopRelaying(); });
    this->server.reset();
    this->task.run([this] { this->controller.reset(); });
}

void ControllerService::stop(std::function<void()> finished)
{
    this->task.post([this, finished = std::move(finished)] { this->controller->shutDown(finished); });
}

rpc::Handlers ControllerService::handlers()
{
    rpc::Handlers handlers;
    handlers.promise = [this](const auto& request, const auto& reply) {
        this->task.post([this, request, reply] { reply(this->controller->promise(request)); });
    };
    handlers.fetchRoutes = [this](const auto& request, const auto& reply) {
        this->task.post([this, request, reply] { this->controller->fetchRoutes(request, reply); });
    };
    handlers.status = [this](const auto&, const auto& reply) {
        this->task.post([this, reply] { reply(this->controller->status()); });
    };
    handlers.fetchEvents = [this](const auto& request, const auto& reply) {
        this->task.post([this, request, reply] { reply(this->controller->fetchEvents(request)); });
    };
    handlers.move = [this](const auto& request, const auto& reply) {
        this->task.post([this, request, reply] { reply(this->controller->move(request)); });
    };
    handlers.confirmGone = [this](const auto& request, const auto& reply) {
        this->task.post([this, request, reply] { reply(this->controller->confirmGone(request)); });
    };
    return handlers;
}

}
