#pragma once

#include "core/Clock.h"

#include <optional>

namespace sequoia::fleet {

//! Spans of the chain by which a change in the store reaches the hosts.
struct ServerListTimes {
    Duration readInterval; //!< between reads of the list by the coordinator, or by a host without a current list
    Duration checkInterval; //!< between a host's checks of whether its list is current
    Duration maxAge; //!< A list that was read longer ago is not current.
    Duration maxUnconfirmed; //!< A list that the coordinator has not confirmed for this time is not current.
};

//! Derives the spans from the time within which a leaving server gets no more requests, so that their sum stays below
//! it by a fifth, for a call to the store.
ServerListTimes serverListTimes(Duration drainBound);

//! Knows the age of a host's list of backend servers, which it gets from the coordinator or reads itself, and decides
//! which of the two it uses.
class ServerListAge {
public:
    explicit ServerListAge(const ServerListTimes& spans)
        : times(spans)
    {
    }

    //! This host has read the list itself; the call began at `started`.
    void recordOwnRead(TimePoint started) { this->listReadAt = started; }
    //! The coordinator began to read its list this long ago.
    void recordAnnouncedAge(Duration age, TimePoint now);
    //! Whether the coordinator's list is to be used: not if this host has a newer one, and the other is not current.
    bool acceptsCoordinatorList(TimePoint now) const;
    //! This host has the list that the coordinator announced. Returns whether this list is current.
    bool confirm(TimePoint now);
    //! Whether the host's list is current. If not, the host reads the store.
    bool isCurrent(TimePoint now) const;

private:
    bool isAnnouncedCurrent(TimePoint now) const;

    ServerListTimes times;
    std::optional<TimePoint> listReadAt; //!< of the list in use
    std::optional<TimePoint> announcedReadAt; //!< of the coordinator's list
    std::optional<TimePoint> confirmedAt;
};

}
