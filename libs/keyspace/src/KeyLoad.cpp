#include "keyspace/KeyLoad.h"

#include <cmath>

namespace sequoia::keyspace {

namespace {

// Hot keys change within seconds, while a single request must not look like load.
constexpr double forgetMicros = 3e6;

}

KeyLoad::KeyLoad()
    : rates(fleet::keyCount, 0)
    , counts(fleet::keyCount, 0)
    , sums(fleet::keyCount + 1, 0)
{
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
    auto perSecond = static_cast<float>(1e6 / forgetMicros);
    double sum = 0;
    for (std::uint32_t key = 0; key < fleet::keyCount; ++key) {
        this->rates[key] = this->rates[key] * kept + static_cast<float>(this->counts[key]) * perSecond;
        this->counts[key] = 0;
        sum += this->rates[key];
        this->sums[key + 1] = sum;
    }
}

}
