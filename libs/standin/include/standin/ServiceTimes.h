#pragma once

#include "core/Clock.h"
#include "core/Random.h"

#include <standin.pb.h>

namespace sequoia::standin {

//! How long each request takes: base time, variation, speed, and the cold start.
class ServiceTimes {
public:
    ServiceTimes(std::uint64_t seed, TimePoint start);

    //! Service time of the request that starts now.
    Duration next(const wire::ServerFaults& behaviour, TimePoint now);

    //! Whether an event that has this probability happens now.
    bool chance(double probability);

private:
    bool isCold(const wire::ServerFaults& behaviour, TimePoint now) const;

    RandomEngine engine;
    TimePoint startTime;
    std::uint64_t startedRequests = 0;
};

}
