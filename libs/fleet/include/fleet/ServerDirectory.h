#pragma once

#include "fleet/ServerEntry.h"

#include <optional>
#include <vector>

namespace sequoia::fleet {

//! Tracks the backend servers that may be used, from lists that are read periodically from the store. Does no I/O.
class ServerDirectory {
public:
    //! Updates further apart than `outageThreshold` count as an outage of the store. After an outage, missing entries
    //! are kept for `gracePeriod`, within which servers that are still running register again.
    ServerDirectory(Duration outageThreshold, Duration gracePeriod);

    //! Applies a complete list read from the store. Returns whether the directory changed.
    bool update(const std::vector<ServerEntry>& listed, TimePoint now);
    //! Replaces all entries by a list that another host has just read. Returns whether the directory changed.
    bool replace(const ServerMap& listed, TimePoint now);
    //! Records that the list was read and has not changed.
    void confirmUnchanged(TimePoint now) { this->lastUpdate = now; }
    const ServerMap& servers() const { return this->current; }

private:
    Duration outageThreshold;
    Duration gracePeriod;
    ServerMap current;
    std::optional<TimePoint> lastUpdate;
    TimePoint graceEnd {};
};

}
