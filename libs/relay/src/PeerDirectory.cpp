#include "relay/PeerDirectory.h"

#include <algorithm>
#include <set>

namespace sequoia::relay {

namespace {

//! Bounds the cost of discovery per read of the host list in a large fleet.
constexpr std::size_t maxUnidentifiedPerRound = 16;
//! Controllers already identified are asked again in turn, since a restart changes the incarnation.
constexpr std::size_t maxIdentifiedPerRound = 2;

bool isUsableController(const wire::Host& host)
{
    return host.kind() == wire::HOST_KIND_CONTROLLER && host.state() == wire::HOST_STATE_LIVE;
}

void fill(wire::Host& host, const wire::Process& process)
{
    host.set_incarnation(process.incarnation());
    if (host.data_centre().empty())
        host.set_data_centre(process.data_centre());
}

wire::Host hostOf(const wire::Process& process)
{
    wire::Host host;
    host.set_id(process.host());
    host.set_kind(wire::HOST_KIND_CONTROLLER);
    host.set_state(wire::HOST_STATE_LIVE);
    host.set_address(process.address());
    fill(host, process);
    return host;
}

}

PeerDirectory::PeerDirectory(wire::Process process, std::vector<std::string> configuredPeers)
    : self(std::move(process))
    , configured(std::move(configuredPeers))
{
}

void PeerDirectory::setHosts(const wire::HostList& hosts)
{
    this->list = hosts;
}

std::vector<std::string> PeerDirectory::addresses() const
{
    std::set<std::string> found(this->configured.begin(), this->configured.end());
    if (this->list) {
        for (const auto& host : this->list->hosts()) {
            if (isUsableController(host))
                found.insert(host.address());
        }
    }
    found.erase(this->self.address());
    return { found.begin(), found.end() };
}

std::vector<std::string> PeerDirectory::toIdentify()
{
    std::vector<std::string> unidentified;
    std::vector<std::string> known;
    for (auto& address : this->addresses()) {
        if (this->identified.contains(address))
            known.push_back(address);
        else
            unidentified.push_back(address);
    }
    auto rotate = [this](std::vector<std::string>& addresses, std::size_t limit) {
        if (!addresses.empty())
            std::rotate(addresses.begin(), addresses.begin() + std::ptrdiff_t(this->cursor % addresses.size()),
                addresses.end());
        addresses.resize(std::min(addresses.size(), limit));
    };
    rotate(unidentified, maxUnidentifiedPerRound);
    rotate(known, maxIdentifiedPerRound);
    this->cursor += maxIdentifiedPerRound;
    unidentified.insert(unidentified.end(), known.begin(), known.end());
    return unidentified;
}

void PeerDirectory::onIdentified(const std::string& address, const wire::Process& process)
{
    auto& known = this->identified[address];
    known = process;
    known.set_address(address);
}

void PeerDirectory::onUnreachable(const std::string& address)
{
    this->identified.erase(address);
}

std::optional<wire::HostList> PeerDirectory::hosts() const
{
    if (!this->list)
        return std::nullopt;
    wire::HostList merged = *this->list;
    std::set<std::string> listed;
    for (auto& host : *merged.mutable_hosts()) {
        if (host.kind() != wire::HOST_KIND_CONTROLLER)
            continue;
        listed.insert(host.address());
        // The list lags: a process that runs now at the address of a stopped one is not the stopped one.
        if (host.state() == wire::HOST_STATE_GONE)
            continue;
        if (host.address() == this->self.address())
            fill(host, this->self);
        else if (auto found = this->identified.find(host.address()); found != this->identified.end())
            fill(host, found->second);
    }
    if (!listed.contains(this->self.address()))
        *merged.add_hosts() = hostOf(this->self);
    for (const auto& address : this->configured) {
        auto found = this->identified.find(address);
        if (found != this->identified.end() && !listed.contains(address))
            *merged.add_hosts() = hostOf(found->second);
    }
    return merged;
}

}
