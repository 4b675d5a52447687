#pragma once

#include "core/Clock.h"

namespace sequoia {

//! A clock for tests that changes only when it is advanced.
class ManualClock final : public Clock {
public:
    explicit ManualClock(
        TimePoint start = TimePoint(std::chrono::seconds(1000)), WallMillis wallStart = 1'700'000'000'000)
        : time(start)
        , wall(wallStart)
    {
    }

    TimePoint now() const override { return this->time; }
    WallMillis wallNow() const override { return this->wall; }

    void advance(Duration step)
    {
        this->time += step;
        this->wall += toMillis(step);
    }

    //! Sets only the wall clock, like a clock adjustment by the operating system.
    void setWallTime(WallMillis value) { this->wall = value; }

private:
    TimePoint time;
    WallMillis wall;
};

}
