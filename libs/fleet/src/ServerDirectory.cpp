#include "fleet/ServerDirectory.h"

namespace sequoia::fleet {

ServerDirectory::ServerDirectory(Duration threshold, Duration grace)
    : outageThreshold(threshold)
    , gracePeriod(grace)
{
}

bool ServerDirectory::update(const std::vector<ServerEntry>& listed, TimePoint now)
{
    if (this->lastUpdate && now - *this->lastUpdate > this->outageThreshold)
        this->graceEnd = now + this->gracePeriod;
    this->lastUpdate = now;
    ServerMap next;
    if (now < this->graceEnd)
        next = this->current;
    for (const auto& entry : listed)
        next[entry.instance.id] = entry;
    if (next == this->current)
        return false;
    this->current = std::move(next);
    return true;
}

bool ServerDirectory::replace(const ServerMap& listed, TimePoint now)
{
    this->lastUpdate = now;
    if (listed == this->current)
        return false;
    this->current = listed;
    return true;
}

}
