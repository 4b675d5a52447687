#include "fleet/Evacuations.h"

namespace sequoia::fleet {

bool Evacuations::update(const EvacuationState& newer)
{
    if (newer.version < this->current.version)
        return false;
    bool changed = newer.dataCentres != this->current.dataCentres;
    this->current = newer;
    return changed;
}

bool Evacuations::change(const std::string& dataCentre, bool evacuated, std::uint64_t version)
{
    auto next = this->current;
    next.version = version;
    if (evacuated)
        next.dataCentres.insert(dataCentre);
    else
        next.dataCentres.erase(dataCentre);
    return this->update(next);
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

}
