#include "fleet/Evacuations.h"

#include <algorithm>
#include <utility>

namespace sequoia::fleet {

bool Evacuations::update(const EvacuationState& newer)
{
    if (newer.version < this->current.version)
        return false;
    bool changed = newer.dataCentres != this->current.dataCentres;
    this->current = newer;
    return changed;
}

// The store drops the removals of rows with its history, so that a withdrawal may show only as a missing row. Its
// version is then unknown, and that of the store is used. Unchanged rows keep the version, since each new version is
// sent to all hosts.
bool Evacuations::replaceRows(const std::vector<EvacuationRow>& rows, std::uint64_t storeVersion)
{
    if (storeVersion < this->current.version)
        return false;
    bool isFirst = this->current.version == 0;
    EvacuationState next { this->current.version, {} };
    for (const auto& row : rows) {
        next.dataCentres.insert(row.dataCentre);
        next.version = std::max(next.version, row.version);
    }
    if (isFirst || next.dataCentres != this->current.dataCentres)
        next.version = storeVersion;
    return std::exchange(this->current, next) != next;
}

// All rows are compared with the version before the first of them, since their order is not that of their versions.
bool Evacuations::changeRows(const std::vector<EvacuationRow>& rows)
{
    auto next = this->current;
    for (const auto& row : rows) {
        if (row.version <= this->current.version)
            continue;
        next.version = std::max(next.version, row.version);
        if (row.removed)
            next.dataCentres.erase(row.dataCentre);
        else
            next.dataCentres.insert(row.dataCentre);
    }
    return std::exchange(this->current, next) != next;
}

void Evacuations::apply(ServerMap& servers) const
{
    if (this->current.dataCentres.empty())
        return;
    for (auto& [id, entry] : servers) {
        if (this->contains(entry.dataCentre))
            entry.state = ServerState::Draining;
    }
}

std::set<std::string> Evacuations::servicesWithoutServers(const ServerMap& servers) const
{
    std::set<std::string> evacuated;
    std::set<std::string> served;
    if (this->current.dataCentres.empty())
        return evacuated;
    for (const auto& [id, entry] : servers) {
        if (this->contains(entry.dataCentre))
            evacuated.insert(entry.service);
        else if (entry.state == ServerState::Ready)
            served.insert(entry.service);
    }
    for (const auto& service : served)
        evacuated.erase(service);
    return evacuated;
}

}
