#include "ServerSelector.h"

#include <algorithm>
#include <tuple>

namespace sequoia::ownership {

namespace {

// Used for hosts whose entry omits slots or speed.
constexpr double defaultSlots = 1;
constexpr double defaultSpeed = 1;

}

double capacityOf(const wire::Host& host)
{
    double slots = host.slots() > 0 ? host.slots() : defaultSlots;
    double speed = host.relative_speed() > 0 ? host.relative_speed() : defaultSpeed;
    return slots * speed;
}

ServerSelector::ServerSelector(const ServerSessions& sessions, const wire::PartitionRecord& record, TimePoint now)
{
    for (const auto& [id, session] : sessions) {
        this->dataCentres[id] = session.hostEntry().data_centre();
        if (session.isAssignable(now))
            this->assignable[id] = session.hostEntry();
    }
    for (const wire::Slice& slice : record.slices()) {
        this->countOwner(slice.owner(), 1);
        this->countSuccessor(slice, 1);
    }
}

void ServerSelector::countSuccessor(const wire::Slice& slice, int change)
{
    if (slice.successor().empty())
        return;
    this->successorsOf[slice.owner()][slice.successor()] += change;
    this->successorTotal[slice.successor()] += change;
}

std::string ServerSelector::successorFor(const wire::Slice& slice)
{
    using Rank = std::tuple<bool, double, double>;
    std::string best;
    Rank bestRank;
    for (const auto& [id, host] : this->assignable) {
        if (id == slice.owner())
            continue;
        bool isSameDataCentre = host.data_centre() == this->dataCentres[slice.owner()];
        double capacity = capacityOf(host);
        double ofOwner = (this->successorsOf[slice.owner()][id] + 1) / capacity;
        Rank rank { isSameDataCentre, ofOwner, (this->successorTotal[id] + 1) / capacity };
        if (best.empty() || rank < bestRank) {
            best = id;
            bestRank = rank;
        }
    }
    return best;
}

std::string ServerSelector::ownerFor(const std::string& except)
{
    std::string best;
    double bestLoad = 0;
    for (const auto& [id, host] : this->assignable) {
        if (id == except)
            continue;
        double load = (this->owned[id] + 1) / capacityOf(host);
        if (best.empty() || load < bestLoad) {
            best = id;
            bestLoad = load;
        }
    }
    return best;
}

int ServerSelector::ownedBy(const std::string& server) const
{
    auto found = this->owned.find(server);
    return found == this->owned.end() ? 0 : found->second;
}

}
