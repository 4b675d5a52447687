#pragma once

#include "core/Clock.h"
#include "core/Random.h"

namespace sequoia::lease {

//! A duration in [low, high]. The standard distributions differ between libraries; this one gives the same values
//! for a seed everywhere.
inline Duration randomBetween(RandomEngine& random, Duration low, Duration high)
{
    auto span = static_cast<std::uint64_t>((high - low).count()) + 1;
    return low + Duration(static_cast<std::int64_t>(random() % span));
}

}
