#pragma once

#include "core/Clock.h"

#include <cstddef>
#include <vector>

namespace sequoia::standin {

//! Takes targets in turn, as a load balancer does; a target that refuses connections is skipped for a while.
class TargetPicker {
public:
    TargetPicker(std::size_t count, Duration skipTime);

    //! The next target that is not skipped; if all are, the one whose skip ends first.
    std::size_t pick(TimePoint now);

    void refused(std::size_t target, TimePoint now);

private:
    std::vector<TimePoint> skippedUntil;
    Duration skip;
    std::size_t next = 0;
};

}
