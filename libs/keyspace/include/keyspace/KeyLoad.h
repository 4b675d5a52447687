#pragma once

#include "core/Clock.h"
#include "fleet/KeyRange.h"

#include <vector>

namespace sequoia::keyspace {

//! Requests per second of each key, as an average that forgets; where traffic rises suddenly, as a quicker one.
class KeyLoad {
public:
    KeyLoad();

    void note(fleet::Key key);
    //! Brings the averages up to date; called a few times a second.
    void advance(TimePoint now);

    //! Time that the averages cover, in seconds.
    double coveredSeconds() const;
    //! Requests per second of keys below `key`; a range's load is a difference of two.
    double below(std::uint32_t key) const { return this->sums[key]; }
    double of(fleet::KeyRange keys) const { return this->sums[std::uint32_t(keys.last) + 1] - this->sums[keys.first]; }

private:
    double addBlock(std::uint32_t begin, double sum, double slowScale, double quickScale);

    std::vector<float> rates;
    std::vector<float> quickRates;
    std::vector<std::uint16_t> counts;
    std::vector<double> sums;
    double covered = 0; //!< part of the averaging time with measurements
    double quickCovered = 0;
    TimePoint lastAdvance {};
};

}
