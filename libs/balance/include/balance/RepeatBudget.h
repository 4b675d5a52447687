#pragma once

#include "core/Clock.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace sequoia::balance {

//! Bounds how many arrivals beyond the first of each request a service gets within any window. Answers retry storms,
//! in which repeats would take the slots of first attempts.
class RepeatBudget {
public:
    //! `window` must pass before a repeat is forgotten; `share` is this host's part of the allowance of all hosts.
    RepeatBudget(Duration window, double ratio, double slack);

    void setTerms(Duration window, double ratio, double slack);
    void noteRequest(TimePoint now);
    //! Takes one repeat from the allowance, unless it is used up.
    bool tryRepeat(TimePoint now, double share);

private:
    struct Second {
        std::int64_t number = 0;
        std::uint64_t requests = 0;
        std::uint64_t repeats = 0;
    };

    Second& current(TimePoint now);

    Duration window;
    double ratio;
    double slack;
    std::deque<Second> seconds;
    std::optional<TimePoint> firstUse;
};

}
