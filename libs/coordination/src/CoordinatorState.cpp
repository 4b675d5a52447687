#include "coordination/Coordinator.h"

#include "coordination/StateEncoding.h"

#include <algorithm>
#include <limits>
#include <set>

// The parts of the coordinator that send its state to hosts: beacons, and answers to requests for buckets.

namespace sequoia::coordination {

namespace {

// A host reports the buckets that it lacks until it has received them, so an answer is not repeated sooner than this.
constexpr Duration stateResendInterval = std::chrono::milliseconds(250);
// The same for urgent state, shorter than the interval between reports: a lost answer is repeated with the next one.
constexpr Duration urgentResendInterval = std::chrono::milliseconds(140);
// Answers to requests for state between two rounds of beacons: a quarter of the link, so that placements are not
// delayed.
constexpr double stateShareOfLink = 0.25;
constexpr double secondsPerRound = 0.15;
// Urgent state and the other answers together take this many times the share of the latter at most.
constexpr std::size_t urgentStateFactor = 2;
// Changes of the list of servers go to all hosts at once up to this size; hosts ask for larger ones.
constexpr std::size_t maxAnnouncedBytes = std::size_t { 4 } * 1024;
constexpr Duration ownerPublishInterval = std::chrono::seconds(1);
// With more hosts than this, owners are published less often in proportion, and their digests are sent in every eighth
// beacon: each change is copied to all hosts.
constexpr std::size_t hostsWithFrequentOwners = 100;
constexpr unsigned beaconsPerOwnerDigest = 8;
// Interval at which standbys get the addresses of all hosts, so their copy is about this old at most. The addresses of
// a hundred hosts take some kilobytes.
constexpr Duration addressListInterval = std::chrono::seconds(1);

}

void Coordinator::setLinkSpeed(double megabitsPerSecond)
{
    this->stateBytesPerRound
        = static_cast<std::size_t>(megabitsPerSecond * 1e6 / 8 * stateShareOfLink * secondsPerRound);
}

// A configuration and the evacuations have to be in effect within a bound. Servers and owners of some hundred hosts,
// requested at the same time, would delay them by seconds on a slow link.
void Coordinator::answerStateRequests(Host& host, const wire::Report& report)
{
    for (bool urgent : { true, false }) {
        for (const auto& request : report.state_requests()) {
            if (isUrgentGroup(request.group()) == urgent)
                this->answerStateRequest(host, request, urgent);
        }
    }
}

void Coordinator::answerStateRequest(Host& host, const wire::StateRequest& request, bool urgent)
{
    auto now = this->clock.now();
    auto& sentAt = host.stateSentAt[request.group()];
    if (sentAt != TimePoint() && now - sentAt < (urgent ? urgentResendInterval : stateResendInterval))
        return;
    auto buckets = this->publisher.differences(request);
    std::size_t fitting = 0;
    while (fitting < buckets.size() && this->takeStateBytes(buckets[fitting].content().size(), urgent))
        ++fitting;
    if (fitting == 0)
        return;
    sentAt = now;
    buckets.resize(fitting);
    for (auto& datagram : splitBuckets(buckets)) {
        datagram.set_sequence(++this->stateSequence);
        this->stateReplies.push_back(addressedTo(host, std::move(datagram)));
    }
}

bool Coordinator::takeStateBytes(std::size_t bytes, bool urgent)
{
    if (bytes > this->urgentStateBytesLeft || (!urgent && bytes > this->stateBytesLeft))
        return false;
    this->urgentStateBytesLeft -= bytes;
    if (!urgent)
        this->stateBytesLeft -= bytes;
    return true;
}

// Owners change many times a second while keys are moved, and hosts need them only without a coordinator.
void Coordinator::publishOwners()
{
    auto now = this->clock.now();
    double factor = std::max(1.0, static_cast<double>(this->hosts.size()) / hostsWithFrequentOwners);
    auto interval = Duration(static_cast<std::int64_t>(static_cast<double>(ownerPublishInterval.count()) * factor));
    if (this->ownersPublishedAt != TimePoint() && now - this->ownersPublishedAt < interval)
        return;
    this->ownersPublishedAt = now;
    for (auto& [service, entry] : this->keyedServices) {
        if (entry.publishedVersion == entry.leaseManager->version())
            continue;
        entry.publishedVersion = entry.leaseManager->version();
        this->publisher.publish(ownerGroup(service), encodeOwners(entry.leaseManager->plan()));
    }
}

void Coordinator::fillHostAddresses(Host& host, wire::Beacon& beacon) const
{
    auto now = this->clock.now();
    if (now - host.addressesSentAt < addressListInterval)
        return;
    host.addressesSentAt = now;
    for (const auto& [incarnation, other] : this->hosts)
        beacon.add_host_addresses(other.address);
}

bool Coordinator::hasManyHosts() const
{
    return this->hosts.size() > hostsWithFrequentOwners;
}

std::vector<OutgoingDatagram> Coordinator::makeBeacons(const CoordinatorStatus& status)
{
    this->stateBytesLeft = this->stateBytesPerRound;
    this->urgentStateBytesLeft = urgentStateFactor * this->stateBytesPerRound;
    this->publishOwners();
    ++this->beaconRound;
    if (this->markColdServers())
        this->publisher.publish(serverGroup, encodeServers(this->servers));
    auto changes = encodeServerChanges(this->announcedServers, this->servers, maxAnnouncedBytes);
    this->announcedServers = this->servers;
    auto result = this->makePredecessorBeacons();
    auto ranks = this->standbyRanks(status.ownIncarnation);
    for (auto& [incarnation, host] : this->hosts) {
        auto rank = ranks.find(incarnation);
        auto outgoing = this->makeBeacon(host, status, rank == ranks.end() ? 0 : rank->second);
        // Changes go before the digests that cover them.
        for (const auto& change : changes) {
            OutgoingDatagram announcement = addressedTo(host, {});
            announcement.datagram.set_sequence(outgoing.datagram.sequence());
            *announcement.datagram.mutable_server_changes() = change;
            result.push_back(std::move(announcement));
        }
        result.push_back(std::move(outgoing));
    }
    return result;
}

OutgoingDatagram Coordinator::makeBeacon(Host& host, const CoordinatorStatus& status, std::uint32_t standbyRank)
{
    OutgoingDatagram outgoing = addressedTo(host, {});
    auto* beacon = outgoing.datagram.mutable_beacon();
    beacon->set_store_contact_age_ms(status.storeContactAgeMs);
    beacon->set_ask_store(status.requestStoreProbe);
    if (standbyRank > 0) {
        beacon->set_heir_rank(standbyRank);
        this->fillHostAddresses(host, *beacon);
    }
    if (!this->isStable(host))
        beacon->set_data_centre(status.dataCentre);
    outgoing.datagram.set_sequence(++this->stateSequence);
    this->publisher.fillDigests(*beacon, !this->hasManyHosts() || this->beaconRound % beaconsPerOwnerDigest == 0);
    beacon->set_configuration_version(this->configuration ? this->configuration->version : 0);
    beacon->set_hosts(static_cast<std::uint32_t>(this->hosts.size()));
    beacon->set_resigned(status.resigned);
    return outgoing;
}

std::vector<OutgoingDatagram> Coordinator::makePredecessorBeacons() const
{
    std::vector<OutgoingDatagram> result;
    if (!this->started || this->clock.now() >= this->predecessorHostsUntil)
        return result;
    std::set<std::string> reportingAddresses;
    for (const auto& [incarnation, host] : this->hosts)
        reportingAddresses.insert(host.address);
    for (const auto& address : this->predecessorHosts) {
        if (reportingAddresses.contains(address))
            continue;
        OutgoingDatagram outgoing { address, {} };
        // The beacon contains no server list yet, so that the host keeps using the one it has.
        auto* beacon = outgoing.datagram.mutable_beacon();
        beacon->set_store_contact_age_ms(std::numeric_limits<std::int64_t>::max());
        beacon->set_hosts(static_cast<std::uint32_t>(this->predecessorHosts.size()));
        beacon->set_configuration_version(this->configuration ? this->configuration->version : 0);
        result.push_back(std::move(outgoing));
    }
    return result;
}

}
