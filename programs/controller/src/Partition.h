#pragma once

#include "GrantSender.h"
#include "PeerClients.h"
#include "lease/Witness.h"
#include "ownership/PartitionMachine.h"
#include "platform/Stores.h"
#include "relay/FetchSource.h"
#include "relay/RouteRelay.h"
#include "runtime/Task.h"
#include "timeline/EventLog.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sequoia::controller {

using Counters = std::map<std::string, double>;

//! What all partitions of a controller share.
struct PartitionEnvironment {
    runtime::Task& task;
    const Clock& clock;
    timeline::EventLog& events;
    platform::TableStore& store;
    PeerClients& peers;
    GrantSender& grants;
    RandomEngine& random;
    Counters& counters;
};

//! Connects the machines of one partition to the network: executes their outputs and feeds the results back.
//! Used on the controller's task.
class Partition {
public:
    using FetchCallback = std::function<void(const wire::FetchRoutesReply&)>;

    Partition(const PartitionEnvironment& environment, const ownership::PartitionOptions& options);

    void tick();
    void onHosts(const wire::HostList& hosts);
    void setPeers(const std::vector<std::string>& addresses);

    wire::PromiseReply promise(const wire::PromiseRequest& request);
    void fetchRoutes(const wire::FetchRoutesRequest& request, FetchCallback reply);
    wire::OperatorReply move(const wire::MoveRequest& request);
    wire::OperatorReply confirmGone(const wire::ConfirmGoneRequest& request);
    wire::PartitionStatus status() const;

    //! Gives the lease up; relaying goes on.
    void shutDown();
    //! After shutDown(): whether the partition needs this process no longer.
    bool isHandedOver() const;
    //! Answers all waiting requests.
    void stopRelaying();

private:
    void feed(ownership::Input input);
    void updateRelay();
    void send(const relay::RelayReplies& replies);

    void execute(const ownership::ReadRecord& output);
    void execute(const ownership::WriteRecord& output);
    void execute(const ownership::SendPromise& output);
    void execute(const ownership::SendGrant& output);
    void execute(const ownership::PublishRoutes& output);
    void execute(const ownership::EmitEvent& output);

    void fetchFromHolder();
    void onFetched(const std::string& address, const wire::FetchRoutesRequest& request, TimePoint askedAt,
        const Result<wire::FetchRoutesReply>& result);
    wire::OperatorReply operate(ownership::Input input, const std::string& reason);

    //! Turns a function into a callback for other threads: it runs on the task, while this object exists.
    template <typename Reply, typename Function> rpc::Callback<Reply> onTask(Function function);

    PartitionEnvironment environment;
    ownership::PartitionOptions options;
    std::string row;
    ownership::PartitionMachine machine;
    lease::Witness witness;
    relay::RouteRelay relay;
    relay::FetchSource source;
    std::deque<ownership::Input> inputs;
    bool feeding = false;
    std::uint64_t recordVersionSeen = 0;
    bool fetching = false;
    bool fetchRecord = false;
    bool stopping = false;
    bool wasHolderAtStop = false;
    bool nextHolderSeen = false;
    std::uint64_t lastRequest = 0;
    std::map<relay::RequestId, FetchCallback> fetchCallbacks;
    std::vector<ownership::EmitEvent>* operatorEvents = nullptr;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}
