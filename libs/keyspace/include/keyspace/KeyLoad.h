#pragma once

#include "core/Clock.h"
#include "fleet/KeyRange.h"

#include <vector>

namespace sequoia::keyspace {

//! Request rate of each key, as an exponential moving average.
//!
//! With surge detection, keys whose rate has changed beyond random fluctuation within the last half second get their
//! recent rate. Answers surges on a key or on adjacent keys that last a few seconds, which a slow average shows too
//! late.
class KeyLoad {
public:
    KeyLoad();

    void setSurgeDetection(bool enabled);
    void recordRequest(fleet::Key key);
    //! Adds the requests recorded since the last call to the averages; called a few times a second.
    void updateAverages(TimePoint now);

    //! Length of the period that the averages cover.
    double measuredSeconds() const;
    //! Requests per second of all keys below `key`.
    double rateBelow(std::uint32_t key) const { return this->cumulativeRates[key]; }
    double rateOf(fleet::KeyRange keys) const
    {
        return this->cumulativeRates[std::uint32_t(keys.last) + 1] - this->cumulativeRates[keys.first];
    }

private:
    //! Rate of a key by the slow average.
    double averageRate(std::uint32_t key, double scale) const { return this->rates[key] * scale; }
    //! Whether the recent rate of the keys in [first, end) differs from the average beyond random fluctuation.
    bool hasChanged(std::uint32_t first, std::uint32_t end, double scale) const;
    void updateRecentRates(Duration elapsed);

    std::vector<float> rates;
    std::vector<float> recentRates; //!< empty without surge detection
    std::vector<std::uint16_t> counts;
    std::vector<double> cumulativeRates;
    double measuredFraction = 0; //!< part of the averaging time for which there are measurements
    TimePoint lastUpdate {};
};

}
