#pragma once

#include "core/Clock.h"

#include <backend.pb.h>
#include <deque>

namespace sequoia::standin {

//! Past health reports, so that the endpoint can lag.
class HealthHistory {
public:
    void add(TimePoint now, const wire::ServerHealth& health);

    //! The newest report that is at least `lag` old, or the oldest one.
    wire::ServerHealth report(TimePoint now, Duration lag) const;

private:
    std::deque<std::pair<TimePoint, wire::ServerHealth>> samples;
};

}
