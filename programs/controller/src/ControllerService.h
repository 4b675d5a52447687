#pragma once

#include "Controller.h"
#include "rpc/Server.h"

namespace sequoia::controller {

//! The controller program: one task that owns the controller, and its gRPC server.
class ControllerService final : public runtime::Program {
public:
    static Result<std::unique_ptr<runtime::Program>> start(const runtime::ProgramContext& context);
    ~ControllerService() override;

    ControllerService(const ControllerService&) = delete;
    ControllerService& operator=(const ControllerService&) = delete;

    void stop(std::function<void()> finished) override;

private:
    explicit ControllerService(const runtime::ProgramContext& context);
    rpc::Handlers handlers();

    runtime::Task task;
    std::unique_ptr<Controller> controller;
    std::unique_ptr<rpc::Server> server;
};

}
