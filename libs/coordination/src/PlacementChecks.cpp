#include "coordination/PlacementClient.h"

#include <utility>

// The parts of PlacementClient that check decisions against what this host knows.

namespace sequoia::coordination {

namespace {

constexpr std::size_t maxLoggedMisplacements = 8;
constexpr Duration misplacedRetryAfter = std::chrono::milliseconds(300);

}

bool PlacementClient::isEvacuated(const std::string& server) const
{
    auto entry = this->listedServers.find(server);
    return entry != this->listedServers.end() && this->evacuations.contains(entry->second.dataCentre);
}

bool PlacementClient::isGone(const fleet::ServerInstance& server) const
{
    if (!this->prefersOwnList)
        return false;
    auto entry = this->listedServers.find(server.id);
    return entry == this->listedServers.end() || entry->second.instance.startMillis > server.startMillis;
}

bool PlacementClient::isOfOtherService(const fleet::ServerInstance& server, const std::string& service) const
{
    auto entry = this->listedServers.find(server.id);
    return entry != this->listedServers.end() && entry->second.instance == server && entry->second.service != service;
}

// A server of another service would run the request. No correct decision names one.
void PlacementClient::refuseMisplacement(std::uint64_t number, const fleet::ServerInstance& server, bool byCoordinator)
{
    const auto& pending = this->pendingJobs.at(number);
    ++this->misplacedCount;
    if (this->misplacements.size() < maxLoggedMisplacements)
        this->misplacements.push_back({ number, pending.job.service, server.id,
            this->listedServers.at(server.id).service, byCoordinator ? this->term : 0 });
    if (byCoordinator) {
        this->queueJobEnd(number, pending.submission, balance::JobResult::Abandoned, {});
        this->submitLocally(number);
        return;
    }
    // The next decision for the slot might be refused, too, so the slot is freed with the next tick.
    this->misplacedLocally.push_back(number);
    this->onJobRefused(number, balance::RefusalReason::NoServer, misplacedRetryAfter);
}

std::vector<Misplacement> PlacementClient::takeMisplacements()
{
    return std::exchange(this->misplacements, {});
}

// The coordinator may not know yet what a server has announced to this host, and its list may be older than this
// host's.
bool PlacementClient::mustDecline(const fleet::ServerInstance& server) const
{
    auto pause = this->pauses.find(server);
    return this->leavingServers.contains(server) || (pause != this->pauses.end() && pause->second > this->clock.now());
}

void PlacementClient::declinePlacement(PendingJob& entry, const fleet::ServerInstance& server)
{
    *this->outgoing.add_notices() = this->noticeOf(server);
    entry.declinedServer = server.id;
    entry.acknowledged = false;
    entry.resendCount = 0;
    entry.firstSent = this->clock.now();
    this->sendSubmit(entry);
}

}
