#include "core/Clock.h"

#include <ctime>

namespace sequoia {

TimePoint SystemClock::now() const
{
    // CLOCK_BOOTTIME also counts while the machine is suspended. CLOCK_MONOTONIC does not, so that after a suspension a
    // lease would outlive the promises on which it is based.
    timespec reading {};
    clock_gettime(CLOCK_BOOTTIME, &reading);
    auto sinceBoot = std::chrono::seconds(reading.tv_sec) + std::chrono::nanoseconds(reading.tv_nsec);
    return TimePoint(std::chrono::duration_cast<Duration>(sinceBoot));
}

WallMillis SystemClock::wallNow() const
{
    auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

std::int64_t toMillis(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

std::int64_t toMillis(TimePoint time)
{
    return toMillis(time.time_since_epoch());
}

Duration fromMillis(std::int64_t millis)
{
    return std::chrono::milliseconds(millis);
}

}
