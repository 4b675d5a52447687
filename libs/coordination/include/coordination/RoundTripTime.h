#pragma once

#include "core/Clock.h"

#include <optional>

namespace sequoia::coordination {

//! Shortest round trip time of the last seconds. The shortest one contains the least processing, so it shows the delay
//! of the link.
class RoundTripTime {
public:
    void record(Duration sample, TimePoint now);
    //! Forgets all samples, for another peer.
    void clear();
    //! Returns zero if there are no recent samples.
    Duration shortest(TimePoint now) const;

private:
    std::optional<Duration> current;
    std::optional<Duration> previous; //!< shortest one of the period before
    TimePoint periodStart {};
};

}
