#pragma once

#include "core/Clock.h"

#include <cmath>

namespace sequoia::lease {

//! The duration on this clock that has certainly lasted `duration` on any other clock.
inline Duration withRateBound(Duration duration, double clockRateBound)
{
    return Duration(static_cast<std::int64_t>(std::ceil(static_cast<double>(duration.count()) * (1 + clockRateBound))));
}

inline std::int64_t toMillisRoundedUp(Duration duration)
{
    return std::chrono::ceil<std::chrono::milliseconds>(duration).count();
}

}
