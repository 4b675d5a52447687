#pragma once

#include "Partition.h"
#include "platform/HttpPlatformClient.h"
#include "relay/PeerDirectory.h"
#include "runtime/Program.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace sequoia::controller {

//! All partitions of this process, the host list and the other controllers. Created, used and destroyed on one task.
class Controller {
public:
    Controller(const runtime::ProgramContext& context, runtime::Task& task);
    ~Controller();

    Controller(const Controller&) = delete;
    Controller& operator=(const Controller&) = delete;

    wire::PromiseReply promise(const wire::PromiseRequest& request);
    void fetchRoutes(const wire::FetchRoutesRequest& request, const Partition::FetchCallback& reply);
    wire::StatusReply status();
    wire::FetchEventsReply fetchEvents(const wire::FetchEventsRequest& request);
    wire::OperatorReply move(const wire::MoveRequest& request);
    wire::OperatorReply confirmGone(const wire::ConfirmGoneRequest& request);

    //! Gives the leases up; calls `finished` when they are handed over or the time limit has passed.
    void shutDown(std::function<void()> finished);
    //! Answers all waiting requests, so that the gRPC server can stop.
    void stopRelaying();

private:
    void tick();
    void readHosts();
    void onHostsRead(const Result<wire::HostList>& result);
    void identifyPeers();
    void onDirectoryChanged();
    void finishWhenHandedOver();
    Partition* partition(const std::string& name);

    runtime::Task& task;
    const Clock& clock;
    timeline::EventLog& events;
    wire::Process self;
    RandomEngine random;
    Counters counters;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    PeerClients peers;
    platform::HttpPlatformClient platformClient;
    GrantSender grants;
    relay::PeerDirectory directory;
    std::map<std::string, std::unique_ptr<Partition>> partitions;
    bool readingHosts = false;
    bool hostsReadable = true;
    std::function<void()> finished;
    TimePoint shutdownEnd;
    std::unique_ptr<runtime::Timer> tickTimer;
    std::unique_ptr<runtime::Timer> hostsTimer;
};

}
