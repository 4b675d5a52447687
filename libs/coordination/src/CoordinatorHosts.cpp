#include "coordination/Coordinator.h"
#include "coordination/HostIdentity.h"

#include <algorithm>
#include <utility>

// The parts of the coordinator that know the hosts: who sends a datagram, whom a reply is for, and which hosts are
// left.

namespace sequoia::coordination {

namespace {

// A host is removed after this time without a report; several report intervals.
constexpr Duration hostTimeout = std::chrono::milliseconds(1500);

}

Coordinator::Host& Coordinator::findOrAddHost(const std::string& incarnation, const std::string& address)
{
    auto& host = this->hosts[incarnation];
    if (host.number == 0) {
        host.number = ++this->lastHostNumber;
        host.digest = digestOfIncarnation(incarnation);
        this->incarnationOfHost[host.number] = incarnation;
        host.firstReport = this->clock.now();
        this->hostEvents.push_back({ HostChange::Added, host.number, incarnation, address });
    }
    host.address = address;
    host.lastReport = this->clock.now();
    return host;
}

// A number of another term, or of a host that was removed, may be that of another host now. The host sends its
// incarnation again when it gets no beacons.
Coordinator::Host* Coordinator::senderOf(const wire::Datagram& datagram, const std::string& address)
{
    if (!datagram.sender().empty()) {
        auto& host = this->findOrAddHost(datagram.sender(), address);
        host.usesNumber = false;
        return &host;
    }
    if (datagram.term() != this->currentTerm)
        return nullptr;
    auto entry = this->findHost(datagram.host_number());
    if (entry == this->hosts.end() || entry->second.address != address)
        return nullptr;
    entry->second.usesNumber = true;
    entry->second.lastReport = this->clock.now();
    return &entry->second;
}

Coordinator::HostEntry Coordinator::findHost(std::uint64_t number)
{
    auto incarnation = this->incarnationOfHost.find(number);
    return incarnation == this->incarnationOfHost.end() ? this->hosts.end() : this->hosts.find(incarnation->second);
}

wire::Datagram& Coordinator::replyTo(std::uint64_t hostNumber)
{
    return this->replies[hostNumber];
}

// The digest shows whose number it is to a process that does not know its own yet.
OutgoingDatagram Coordinator::addressedTo(const Host& host, wire::Datagram datagram)
{
    datagram.set_host_number(host.number);
    if (!host.usesNumber)
        datagram.set_receiver(host.digest);
    return { host.address, std::move(datagram) };
}

std::vector<OutgoingDatagram> Coordinator::takeReplies()
{
    std::vector<OutgoingDatagram> result;
    for (auto& [number, datagram] : this->replies) {
        auto entry = this->findHost(number);
        if (entry != this->hosts.end())
            result.push_back(addressedTo(entry->second, std::move(datagram)));
    }
    this->replies.clear();
    std::move(this->stateReplies.begin(), this->stateReplies.end(), std::back_inserter(result));
    this->stateReplies.clear();
    return result;
}

// Adjusts only the servers that this host uses, since all hosts report several times a second.
void Coordinator::setUnmanagedJobs(Host& host, std::map<std::string, unsigned> inFlight)
{
    if (inFlight == host.unmanagedInFlight)
        return;
    auto previous = std::exchange(host.unmanagedInFlight, std::move(inFlight));
    for (const auto& [server, count] : host.unmanagedInFlight)
        previous.try_emplace(server, 0);
    for (const auto& [server, before] : previous) {
        auto now = host.unmanagedInFlight.find(server);
        auto& total = this->unmanagedJobs[server];
        total = total - before + (now == host.unmanagedInFlight.end() ? 0 : now->second);
        this->scheduler.setOtherHostsInFlight(server, total);
        if (total == 0)
            this->unmanagedJobs.erase(server);
    }
}

void Coordinator::removeTimedOutHosts()
{
    auto now = this->clock.now();
    for (auto entry = this->hosts.begin(); entry != this->hosts.end();) {
        bool timedOut = now - entry->second.lastReport > hostTimeout;
        entry = timedOut ? this->removeHost(entry, HostChange::Removed) : std::next(entry);
    }
}

// A late datagram of a process that has ended adds it again. The process that has its address now gets the beacons for
// it, so it is removed again soon.
void Coordinator::removeReplacedHosts(const Host& sender, const wire::Datagram& datagram)
{
    if (datagram.term() != this->currentTerm)
        return;
    for (auto number : datagram.replaced_hosts()) {
        auto entry = this->findHost(number);
        if (entry != this->hosts.end() && &entry->second != &sender && entry->second.address == sender.address)
            this->removeHost(entry, HostChange::Replaced);
    }
}

Coordinator::HostEntry Coordinator::removeHost(HostEntry entry, HostChange reason)
{
    auto& host = entry->second;
    this->hostEvents.push_back({ reason, host.number, entry->first, host.address });
    this->setUnmanagedJobs(host, {});
    this->scheduler.removeHost(host.number, this->clock.now());
    this->incarnationOfHost.erase(host.number);
    bool hasSuccessor = std::any_of(this->hosts.begin(), this->hosts.end(),
        [&host](const auto& other) { return &other.second != &host && other.second.address == host.address; });
    if (!hasSuccessor)
        this->dataCentreByAddress.erase(host.address);
    return this->hosts.erase(entry);
}

std::string Coordinator::dataCentreOf(const std::string& address) const
{
    auto found = this->dataCentreByAddress.find(address);
    return found == this->dataCentreByAddress.end() ? std::string() : found->second;
}

}
