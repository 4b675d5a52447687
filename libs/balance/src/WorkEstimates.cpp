#include "balance/WorkEstimates.h"

#include <algorithm>
#include <cmath>

namespace sequoia::balance {

namespace {

// Weight of the newest answer, once there have been enough for an average.
constexpr double newestSampleWeight = 0.02;
// Answers of a class before its own estimate is used.
constexpr unsigned minSamples = 10;
// Routes are named by operators; more classes than this share the estimate of the service.
constexpr std::size_t maxClasses = 256;
// Mean absolute deviations above the mean within which about two thirds of the jobs end.
constexpr double likelyDeviations = 0.5;
// Assumed before the first answer.
constexpr double initialMeanMicros = 150e3;
constexpr double initialDeviationMicros = 50e3;

}

void WorkEstimates::record(std::uint32_t workClass, Duration work)
{
    auto add = [sample = static_cast<double>(work.count())](Estimate& estimate) {
        ++estimate.samples;
        if (estimate.samples == 1)
            estimate.mean = sample;
        double weight = std::max(newestSampleWeight, 1.0 / estimate.samples);
        estimate.deviation += weight * (std::abs(sample - estimate.mean) - estimate.deviation);
        estimate.mean += weight * (sample - estimate.mean);
    };
    add(this->service);
    if (workClass != 0 && (this->classes.size() < maxClasses || this->classes.contains(workClass)))
        add(this->classes[workClass]);
}

const WorkEstimates::Estimate& WorkEstimates::estimateFor(std::uint32_t workClass) const
{
    static const Estimate initial { initialMeanMicros, initialDeviationMicros, 0 };
    auto found = this->classes.find(workClass);
    if (found != this->classes.end() && found->second.samples >= minSamples)
        return found->second;
    return this->service.samples > 0 ? this->service : initial;
}

Duration WorkEstimates::mean(std::uint32_t workClass) const
{
    return Duration(static_cast<std::int64_t>(this->estimateFor(workClass).mean));
}

Duration WorkEstimates::likely(std::uint32_t workClass) const
{
    const auto& estimate = this->estimateFor(workClass);
    return Duration(static_cast<std::int64_t>(estimate.mean + likelyDeviations * estimate.deviation));
}

}
