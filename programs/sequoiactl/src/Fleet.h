#pragma once

#include "operatorcli/CommandLine.h"
#include "operatorcli/Views.h"
#include "rpc/Client.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sequoia::ctl {

//! The processes that a command talks to: those of the host list and those named by --processes.
class Fleet {
public:
    explicit Fleet(const operatorcli::Options& options);

    //! Reads the host list from the platform.
    Result<wire::HostList> readHosts() const;

    //! Adds the routers and controllers of the host list. Without the platform, only --processes remain; the
    //! result says why.
    std::optional<Error> discover();

    const std::vector<std::string>& addresses() const { return this->processes; }
    const std::optional<wire::HostList>& hosts() const { return this->hostList; }

    operatorcli::StatusView status();
    operatorcli::TimelineView events();
    Result<wire::FetchRoutesReply> routes(const std::string& address, const std::string& service);
    Result<wire::OperatorReply> move(const std::string& address, const wire::MoveRequest& request);
    Result<wire::OperatorReply> confirmGone(const std::string& address, const wire::ConfirmGoneRequest& request);

private:
    rpc::Client& client(const std::string& address);

    const operatorcli::Options& options;
    std::vector<std::string> processes;
    std::optional<wire::HostList> hostList;
    std::map<std::string, std::unique_ptr<rpc::Client>> clients;
};

}
