#include "HealthHistory.h"

namespace sequoia::standin {

namespace {

// At one sample per 50 ms this is the longest lag that the settings allow, 10 minutes.
constexpr std::size_t maxSamples = 12000;

}

void HealthHistory::add(TimePoint now, const wire::ServerHealth& health)
{
    this->samples.emplace_back(now, health);
    if (this->samples.size() > maxSamples)
        this->samples.pop_front();
}

wire::ServerHealth HealthHistory::report(TimePoint now, Duration lag) const
{
    for (auto sample = this->samples.rbegin(); sample != this->samples.rend(); ++sample) {
        if (now - sample->first >= lag)
            return sample->second;
    }
    return this->samples.empty() ? wire::ServerHealth() : this->samples.front().second;
}

}
