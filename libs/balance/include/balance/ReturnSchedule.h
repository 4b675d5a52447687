#pragma once

#include "core/Clock.h"

#include <cstdint>

namespace sequoia::balance {

//! Gives each refused caller a time to come back at which a queue has room for it. Answers refusals of many callers at
//! one moment, who would otherwise all return at one moment and be refused again.
class ReturnSchedule {
public:
    //! Returns how long to wait from `now`: at least `earliest`, at least `spacing` after the caller before, and at
    //! most `latest`. `seed` spreads the callers for whom no time is left before `latest`.
    Duration reserve(Duration earliest, Duration latest, Duration spacing, std::uint64_t seed, TimePoint now);

private:
    TimePoint nextFree {};
};

}
