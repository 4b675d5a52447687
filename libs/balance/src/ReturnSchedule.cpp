#include "balance/ReturnSchedule.h"

#include <algorithm>

namespace sequoia::balance {

Duration ReturnSchedule::reserve(
    Duration earliest, Duration latest, Duration spacing, std::uint64_t seed, TimePoint now)
{
    auto when = std::max(now + earliest, this->nextFree);
    if (when <= now + latest) {
        this->nextFree = when + spacing;
        return when - now;
    }
    // Nothing is reserved for a caller whose time does not suffice; it comes back in the second half of its time.
    double part = 0.5 + 0.5 * static_cast<double>(seed * 0x9E3779B97F4A7C15U >> 32U) / 4294967296.0;
    return std::max(
        std::min(earliest, latest), Duration(static_cast<std::int64_t>(part * static_cast<double>(latest.count()))));
}

}
