#pragma once

#include "Metrics.h"
#include "RouteFetcher.h"
#include "rpc/Server.h"
#include "runtime/Program.h"

#include <atomic>

namespace sequoia::router {

//! The router process: workers that serve callers, and a control task that keeps their routes up to date.
class RouterService final : public runtime::Program {
public:
    static Result<std::unique_ptr<runtime::Program>> create(const runtime::ProgramContext& context);
    ~RouterService() override;

    void stop(std::function<void()> finished) override;

private:
    class Worker;

    explicit RouterService(const runtime::ProgramContext& context);

    Result<Success> startWorkers();
    Result<Success> startDiagnostics();
    void startFetcher();
    void onWorkerDrained();
    void reportWaiting();
    wire::StatusReply status() const;

    runtime::ProgramContext context;
    Metrics metrics;
    runtime::Task control;
    std::vector<std::unique_ptr<Worker>> workers;
    std::unique_ptr<RouteFetcher> fetcher;
    std::unique_ptr<rpc::Server> diagnostics;
    std::unique_ptr<runtime::Timer> stopTimer;
    std::function<void()> finished;
    std::size_t workersToDrain = 0;
    std::atomic<bool> stopping = false;
};

}
