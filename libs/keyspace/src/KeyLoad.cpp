#include "keyspace/KeyLoad.h"

#include <algorithm>
#include <cmath>

namespace sequoia::keyspace {

namespace {

// Hot keys change within seconds, while a single request must not look like load.
constexpr double forgetMicros = 3e6;
// Below this part of the averaging time, an average says nothing.
constexpr double leastCovered = 0.15;
// The quicker average sees half of a surge after a third of a second. It is used for neighbouring keys together, since
// busy keys lie close together and a single key has too few requests in this time.
constexpr double quickForgetMicros = 0.5e6;
constexpr std::uint32_t blockKeys = 64;
// A surge is a multiple of the usual load, and more than chance explains (standard deviations of a Poisson count).
constexpr double surgeFactor = 2;
constexpr double surgeDeviations = 4;

}

KeyLoad::KeyLoad()
    : rates(fleet::keyCount, 0)
    , quickRates(fleet::keyCount, 0)
    , counts(fleet::keyCount, 0)
    , sums(fleet::keyCount + 1, 0)
{
}

double KeyLoad::coveredSeconds() const
{
    return std::max(this->covered, leastCovered) * forgetMicros / 1e6;
}

void KeyLoad::note(fleet::Key key)
{
    ++this->counts[key];
}

void KeyLoad::advance(TimePoint now)
{
    double elapsed = static_cast<double>((now - this->lastAdvance).count());
    this->lastAdvance = now;
    auto kept = static_cast<float>(std::exp(-elapsed / forgetMicros));
    auto quickKept = static_cast<float>(std::exp(-elapsed / quickForgetMicros));
    auto perSecond = static_cast<float>(1e6 / forgetMicros);
    auto quickPerSecond = static_cast<float>(1e6 / quickForgetMicros);
    bool first = std::all_of(this->counts.begin(), this->counts.end(), [](std::uint16_t count) { return count == 0; })
        && this->sums.back() == 0;
    // Until the averaging time has passed, an average counts for the time that it covers.
    this->covered = first ? 0 : this->covered * kept + (1 - kept);
    this->quickCovered = first ? 0 : this->quickCovered * quickKept + (1 - quickKept);
    for (std::uint32_t key = 0; key < fleet::keyCount; ++key) {
        auto count = static_cast<float>(this->counts[key]);
        this->rates[key] = this->rates[key] * kept + count * perSecond;
        this->quickRates[key] = this->quickRates[key] * quickKept + count * quickPerSecond;
        this->counts[key] = 0;
    }
    double slowScale = 1 / std::max(this->covered, leastCovered);
    double quickScale = 1 / std::max(this->quickCovered, leastCovered);
    double sum = 0;
    for (std::uint32_t begin = 0; begin < fleet::keyCount; begin += blockKeys)
        sum = this->addBlock(begin, sum, slowScale, quickScale);
}

//! Sets the sums of a block of keys that begin at `sum`, and returns the sum after it.
double KeyLoad::addBlock(std::uint32_t begin, double sum, double slowScale, double quickScale)
{
    double slow = 0;
    double quick = 0;
    for (std::uint32_t key = begin; key < begin + blockKeys; ++key) {
        slow += this->rates[key] * slowScale;
        quick += this->quickRates[key] * quickScale;
    }
    double quickSeconds = quickForgetMicros / 1e6 * std::max(this->quickCovered, leastCovered);
    double chance = surgeDeviations * std::sqrt(std::max(1.0, slow * quickSeconds)) / quickSeconds;
    bool surge = quick > surgeFactor * slow && quick - slow > chance;
    for (std::uint32_t key = begin; key < begin + blockKeys; ++key) {
        sum += surge ? this->quickRates[key] * quickScale : this->rates[key] * slowScale;
        this->sums[key + 1] = sum;
    }
    return sum;
}

}
