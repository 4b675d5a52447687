#include "coordination/PlacementClient.h"

#include <algorithm>
#include <set>

// The parts of PlacementClient that tell the coordinator what servers have announced about themselves.

namespace sequoia::coordination {

bool PlacementClient::reportNotice(std::uint64_t job, const balance::ServerNotice& notice)
{
    auto found = this->placedJobs.find(job);
    if (found == this->placedJobs.end())
        return false;
    const auto& server = found->second.server;
    auto now = this->clock.now();
    bool isNew = false;
    if (notice.leaving && this->leavingServers.add(server, now)) {
        isNew = true;
        this->applyServers();
    }
    if (notice.pause > Duration::zero()) {
        auto until = now + std::min(notice.pause, balance::maxServerPause);
        auto& end = this->pauses[server];
        isNew = isNew || until > end;
        end = std::max(end, until);
        if (this->instanceOf(server.id) == server)
            this->scheduler.pauseServer(server.id, localHost, end);
    }
    if (isNew && this->coordinatorActive) {
        *this->outgoing.add_notices() = this->noticeOf(server);
        this->hasOutgoing = true;
        this->scheduleSend();
    }
    return isNew;
}

wire::ServerNotice PlacementClient::noticeOf(const fleet::ServerInstance& server) const
{
    wire::ServerNotice message;
    message.set_server(server.id);
    message.set_born_ms(server.startMillis);
    message.set_leaving(this->leavingServers.contains(server));
    auto pause = this->pauses.find(server);
    if (pause != this->pauses.end() && pause->second > this->clock.now())
        message.set_pause_ms(static_cast<std::uint32_t>(toMillis(pause->second - this->clock.now()) + 1));
    return message;
}

void PlacementClient::fillNotices(wire::Datagram& datagram) const
{
    std::set<fleet::ServerInstance> instances;
    for (const auto& instance : this->leavingServers.instances()) {
        // The coordinator's list shows the others as draining or no longer at all.
        auto listed = this->listedServers.find(instance.id);
        if (listed != this->listedServers.end() && listed->second.state == fleet::ServerState::Ready)
            instances.insert(instance);
    }
    for (const auto& [instance, until] : this->pauses) {
        if (until > this->clock.now())
            instances.insert(instance);
    }
    for (const auto& instance : instances)
        *datagram.add_notices() = this->noticeOf(instance);
}

}
