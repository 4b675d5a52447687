#include "balance/ServerPace.h"

#include <algorithm>
#include <cmath>

namespace sequoia::balance {

namespace {

// The pace changes after some 400 ms, so that an older report says little.
constexpr double decayTimeConstantMicros = 0.3e6;
// Several slow and fast periods.
constexpr double averageTimeConstantMicros = 3e6;
// A machine is not faster or slower than this for a moment; other values are bounded.
constexpr double minPace = 0.2;
constexpr double maxPace = 10;

double decay(TimePoint since, TimePoint now, double timeConstantMicros)
{
    return std::exp(-std::max(0.0, static_cast<double>((now - since).count())) / timeConstantMicros);
}

}

// Each report stands for the time since the preceding one: a fast server reports more often.
void ServerPace::record(std::uint32_t pacePercent, TimePoint now)
{
    double pace = std::clamp(pacePercent / 100.0, minPace, maxPace);
    if (this->known)
        this->average += (1 - decay(this->lastReport, now, averageTimeConstantMicros)) * (pace - this->average);
    this->last = pace;
    this->known = true;
    this->lastReport = now;
}

// Relative to the average, since the measured speed of the server includes it. A server that always states the same
// false pace is thereby judged by its measured speed.
double ServerPace::relativeAt(TimePoint now) const
{
    if (!this->known)
        return 1;
    double weight = decay(this->lastReport, now, decayTimeConstantMicros);
    return std::clamp((this->average + (this->last - this->average) * weight) / this->average, minPace, maxPace);
}

}
