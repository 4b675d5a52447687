#pragma once

#include "ConfigurationWatcher.h"
#include "CoordinationTask.h"
#include "ServerWatcher.h"
#include "edge/EdgeServer.h"
#include "endpoint/HttpEndpoint.h"
#include "platform_adapter/StoreClient.h"
#include "runtime/Program.h"

#include <functional>
#include <memory>

namespace sequoia::node {

//! Service of the node program: serves callers and takes part in coordination, on one event loop.
class NodeService final : public runtime::Program {
public:
    static Result<std::unique_ptr<runtime::Program>> create(const runtime::ProgramContext& context);
    ~NodeService() override;

    void stop(std::function<void()> finished) override;
    std::vector<std::string> reload(const settings::Settings& settings) override;

private:
    explicit NodeService(const runtime::ProgramContext& context);

    Result<Success> start(const runtime::ProgramContext& context);
    bool isReady() const;
    endpoint::Response readinessPage(const std::string& path) const;
    endpoint::Response metricsPage(const std::string& path) const;
    void runPeriodicCleanup();
    void applyConfiguration(const std::shared_ptr<const fleet::Configuration>& current, const std::string& text);
    void updateDataSources();
    void runDataSourceUpdates();
    void checkStop();
    void recordStop(Duration elapsed);

    Duration terminationGracePeriod;
    fleet::ServerListTimes listTimes;
    timeline::EventLog& events;
    net::Reactor reactor;
    platform_adapter::StoreClient store;
    std::unique_ptr<CoordinationTask> coordination;
    std::unique_ptr<edge::EdgeServer> edge;
    std::unique_ptr<ConfigurationWatcher> configurationWatcher;
    std::unique_ptr<ServerWatcher> serverWatcher;
    std::unique_ptr<endpoint::HttpEndpoint> readinessServer;
    std::unique_ptr<endpoint::HttpEndpoint> metricsServer;
    fleet::ServerMap knownServers;
    bool stopping = false;
    TimePoint stopStarted {};
    std::function<void()> stopFinished;
};

}
