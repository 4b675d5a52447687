#include "keyspace/KeyLoad.h"

#include <algorithm>
#include <cmath>

namespace sequoia::keyspace {

namespace {

// Short enough to follow hot keys, which change within seconds; long enough that a single request does not look like
// load.
constexpr double averagingTimeMicros = 3e6;
// Lower bound of the measured part, since an average over less is not meaningful.
constexpr double minMeasuredFraction = 0.15;
// Time constant of the recent rates. Surges last a few seconds, so half of one second is an eighth of a surge.
constexpr double recentTimeMicros = 5e5;
// Keys are tested for a change in groups, since the rate of one key is too small for a test.
constexpr std::uint32_t keysPerGroup = 64;
// A change must exceed this many standard deviations of the recent rate. With a thousand groups four times a second,
// three would show a change by chance every second.
constexpr double changeDeviations = 4;

}

KeyLoad::KeyLoad()
    : rates(fleet::keyCount, 0)
    , counts(fleet::keyCount, 0)
    , cumulativeRates(fleet::keyCount + 1, 0)
{
}

double KeyLoad::measuredSeconds() const
{
    return std::max(this->measuredFraction, minMeasuredFraction) * averagingTimeMicros / 1e6;
}

void KeyLoad::setSurgeDetection(bool enabled)
{
    if (enabled == !this->recentRates.empty())
        return;
    if (enabled)
        this->recentRates = this->rates;
    else
        std::vector<float>().swap(this->recentRates);
}

void KeyLoad::recordRequest(fleet::Key key)
{
    ++this->counts[key];
}

void KeyLoad::updateRecentRates(Duration elapsed)
{
    double micros = std::max(1.0, static_cast<double>(elapsed.count()));
    auto decay = static_cast<float>(std::exp(-micros / recentTimeMicros));
    auto countToRate = static_cast<float>(1e6 / micros) * (1 - decay);
    for (std::uint32_t key = 0; key < fleet::keyCount; ++key)
        this->recentRates[key] = this->recentRates[key] * decay + static_cast<float>(this->counts[key]) * countToRate;
}

bool KeyLoad::hasChanged(std::uint32_t first, std::uint32_t end, double scale) const
{
    double recent = 0;
    double average = 0;
    for (std::uint32_t key = first; key < end; ++key) {
        recent += this->recentRates[key];
        average += this->averageRate(key, scale);
    }
    // Variance of an exponential moving average of a Poisson process with this rate.
    double variance = std::max(average, 1.0) * 1e6 / (2 * recentTimeMicros);
    return std::abs(recent - average) > changeDeviations * std::sqrt(variance);
}

void KeyLoad::updateAverages(TimePoint now)
{
    double elapsed = static_cast<double>((now - this->lastUpdate).count());
    if (!this->recentRates.empty())
        this->updateRecentRates(now - this->lastUpdate);
    this->lastUpdate = now;
    auto decay = static_cast<float>(std::exp(-elapsed / averagingTimeMicros));
    auto countToRate = static_cast<float>(1e6 / averagingTimeMicros);
    bool isIdle = std::all_of(this->counts.begin(), this->counts.end(), [](std::uint16_t count) { return count == 0; })
        && this->cumulativeRates.back() == 0;
    // Until the averaging time has passed, the averages are scaled to the time that has been measured.
    this->measuredFraction = isIdle ? 0 : this->measuredFraction * decay + (1 - decay);
    double scale = 1 / std::max(this->measuredFraction, minMeasuredFraction);
    for (std::uint32_t key = 0; key < fleet::keyCount; ++key) {
        this->rates[key] = this->rates[key] * decay + static_cast<float>(this->counts[key]) * countToRate;
        this->counts[key] = 0;
    }
    double total = 0;
    for (std::uint32_t first = 0; first < fleet::keyCount; first += keysPerGroup) {
        auto end = first + keysPerGroup;
        bool useRecent = !this->recentRates.empty() && this->hasChanged(first, end, scale);
        for (std::uint32_t key = first; key < end; ++key) {
            total += useRecent ? static_cast<double>(this->recentRates[key]) : this->averageRate(key, scale);
            this->cumulativeRates[key + 1] = total;
        }
    }
}

}
