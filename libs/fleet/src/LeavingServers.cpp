#include "fleet/LeavingServers.h"

namespace sequoia::fleet {

namespace {

// A server that no list has shown for this time has ended.
constexpr Duration retention = std::chrono::minutes(10);

}

bool LeavingServers::add(const ServerInstance& instance, TimePoint now)
{
    auto [departure, added] = this->departures.try_emplace(instance.id, Departure { instance.startMillis, now });
    if (added)
        return true;
    departure->second.lastSeen = now;
    // A notice that arrives late may be about an earlier run of the server.
    if (instance.startMillis <= departure->second.startMillis)
        return false;
    departure->second.startMillis = instance.startMillis;
    return true;
}

bool LeavingServers::contains(const ServerInstance& instance) const
{
    auto found = this->departures.find(instance.id);
    return found != this->departures.end() && instance.startMillis <= found->second.startMillis;
}

void LeavingServers::apply(ServerMap& listed, TimePoint now)
{
    for (auto& [id, entry] : listed) {
        if (entry.state == ServerState::Draining)
            this->add(entry.instance, now);
        auto found = this->departures.find(id);
        if (found == this->departures.end())
            continue;
        if (entry.instance.startMillis > found->second.startMillis) {
            this->departures.erase(found);
            continue;
        }
        found->second.lastSeen = now;
        entry.state = ServerState::Draining;
    }
    std::erase_if(this->departures, [&](const auto& entry) { return now - entry.second.lastSeen > retention; });
}

std::vector<ServerInstance> LeavingServers::instances() const
{
    std::vector<ServerInstance> result;
    for (const auto& [id, departure] : this->departures)
        result.push_back({ id, departure.startMillis });
    return result;
}

}
