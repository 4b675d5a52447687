#pragma once

#include "core/Clock.h"
#include "core/Random.h"

#include <cstdint>
#include <optional>

namespace sequoia::coordination {

//! Decides when a host without a current list of backend servers reads it from the store. In a large fleet, a host
//! with a live coordinator waits for the coordinator's copy instead: some hundred hosts that each read some thousand
//! rows take most of what the store can send.
class ListReadPolicy {
public:
    //! `now` is the time at which this process started.
    ListReadPolicy(RandomEngine& random, TimePoint now);

    //! Sets the number of hosts that the coordinator's row names; 0 if it is not known or the row can't be read.
    void setStoredHostCount(std::uint32_t hosts, TimePoint now);
    void onBeacon(std::uint64_t term, std::uint32_t hosts, TimePoint now);
    //! What this host knows about its list.
    struct ListState {
        bool isCurrent = false; //!< The coordinator has confirmed it recently.
        bool exists = false;
        TimePoint lastRead {}; //!< when this host read it from the store
    };
    bool mustRead(const ListState& list, TimePoint now);

private:
    bool mayWait(const ListState& list, TimePoint now) const;
    bool mayWaitForFirstList(TimePoint now) const;
    Duration copyWait() const;

    double jitter; //!< from 0 to 1
    TimePoint started;
    std::uint32_t hostCount = 0;
    bool hostCountAsked = false; //!< an answer about the coordinator's row has arrived
    std::uint64_t term = 0;
    TimePoint termSeenAt {}; //!< time of the first beacon of the term
    TimePoint lastBeacon {};
    std::optional<TimePoint> waitingSince;
};

}
