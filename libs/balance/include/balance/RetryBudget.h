#pragma once

#include "core/Clock.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace sequoia::balance {

//! Limits the retries of the requests of a service within any time window. Guards against retry storms, in which
//! retries would take the slots of first attempts.
class RetryBudget {
public:
    //! Within `window`, which is above zero, the budget is `ratio` retries per request and `slack` retries besides.
    RetryBudget(Duration window, double ratio, double slack);

    void setLimits(Duration window, double ratio, double slack);
    void recordRequest(TimePoint now);
    //! Takes one retry from the budget, and returns false if the budget is used up. `share` is the part of the slack of
    //! all hosts that this host may use.
    bool tryAcquire(TimePoint now, double share);

private:
    //! Counts of a part of the window.
    struct Counts {
        TimePoint end;
        std::uint64_t requests = 0;
        std::uint64_t retries = 0;
    };

    Counts& currentCounts(TimePoint now);

    Duration window;
    double ratio;
    double slack;
    std::deque<Counts> parts;
    std::optional<TimePoint> firstUse;
};

}
