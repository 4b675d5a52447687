#pragma once

#include "fleet/ServerEntry.h"

#include <map>
#include <vector>

namespace sequoia::fleet {

//! Remembers the backend servers that have announced that they leave, in a response or in their entry. A server stays
//! in this set until it starts anew, whatever later lists say.
class LeavingServers {
public:
    //! Returns whether the instance was not known to be leaving.
    bool add(const ServerInstance& instance, TimePoint now);
    bool contains(const ServerInstance& instance) const;
    //! Marks the leaving servers of a list as draining, and remembers those that the list itself shows as draining.
    void apply(ServerMap& listed, TimePoint now);
    std::vector<ServerInstance> instances() const;

private:
    struct Departure {
        std::int64_t startMillis = 0;
        TimePoint lastSeen {};
    };

    std::map<std::string, Departure, std::less<>> departures; //!< by server id
};

}
