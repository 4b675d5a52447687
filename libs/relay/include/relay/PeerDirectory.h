#pragma once

#include <hosts.pb.h>
#include <map>
#include <optional>
#include <record.pb.h>
#include <string>
#include <vector>

namespace sequoia::relay {

//! The controllers known from the host list and from the settings, with the incarnations that they reported.
class PeerDirectory {
public:
    PeerDirectory(wire::Process self, std::vector<std::string> configuredPeers);

    void setHosts(const wire::HostList& list);

    //! Addresses of all other controllers.
    std::vector<std::string> addresses() const;

    //! Addresses whose incarnation is to be asked for now; bounded per call.
    std::vector<std::string> toIdentify();
    void onIdentified(const std::string& address, const wire::Process& process);
    void onUnreachable(const std::string& address);

    //! The host list with the identified controllers and this one; nothing until the list has been read once.
    std::optional<wire::HostList> hosts() const;

private:
    wire::Process self;
    std::vector<std::string> configured;
    std::optional<wire::HostList> list;
    std::map<std::string, wire::Process> identified;
    std::size_t cursor = 0;
};

}
