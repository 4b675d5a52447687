#include "standin/ServiceTimes.h"

namespace sequoia::standin {

ServiceTimes::ServiceTimes(std::uint64_t seed, TimePoint start)
    : engine(seed)
    , startTime(start)
{
}

Duration ServiceTimes::next(const wire::ServerFaults& behaviour, TimePoint now)
{
    double time = behaviour.service_time_us();
    std::uniform_real_distribution<double> variation(-1, 1);
    time *= 1 + behaviour.spread() * variation(this->engine);
    time /= behaviour.speed();
    if (this->isCold(behaviour, now))
        time *= behaviour.cold_factor();
    ++this->startedRequests;
    return Duration(static_cast<Duration::rep>(time));
}

bool ServiceTimes::chance(double probability)
{
    return std::bernoulli_distribution(probability)(this->engine);
}

bool ServiceTimes::isCold(const wire::ServerFaults& behaviour, TimePoint now) const
{
    return this->startedRequests < behaviour.cold_requests()
        || now - this->startTime < std::chrono::milliseconds(behaviour.cold_ms());
}

}
