#pragma once

#include "core/Clock.h"

#include <cstdint>

namespace sequoia::balance {

//! How long work takes on one backend server at a moment, as the server states it. Answers servers that are several
//! times slower for some tenths of a second: their own answers show it only when it is over.
class ServerPace {
public:
    //! `pacePercent` is not zero.
    void record(std::uint32_t pacePercent, TimePoint now);
    //! Expected duration of work relative to the average one of this server; 1 without reports. A report counts fully
    //! at first and decays towards the average.
    double relativeAt(TimePoint now) const;

private:
    double last = 1;
    double average = 1;
    bool known = false;
    TimePoint lastReport {};
};

}
