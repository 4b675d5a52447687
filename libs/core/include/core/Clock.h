#pragma once

#include <chrono>
#include <cstdint>

namespace sequoia {

using Duration = std::chrono::microseconds;

//! Clock type of TimePoint. Has no now(), because time is always read from a Clock object.
struct MonotonicClockTag {
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<MonotonicClockTag, duration>;
    static constexpr bool is_steady = true;
};

//! Monotonic time of one process; not comparable between processes.
using TimePoint = MonotonicClockTag::time_point;

//! Milliseconds since the Unix epoch, for display and logs only. Leases use TimePoint.
using WallMillis = std::int64_t;

//! Source of the monotonic and the wall clock time. Tests use ManualClock.
class Clock {
public:
    virtual ~Clock() = default;
    virtual TimePoint now() const = 0;
    virtual WallMillis wallNow() const = 0;
};

//! Reads the clocks of the operating system.
class SystemClock final : public Clock {
public:
    TimePoint now() const override;
    WallMillis wallNow() const override;
};

std::int64_t toMillis(Duration duration);
std::int64_t toMillis(TimePoint time);
Duration fromMillis(std::int64_t millis);

}
