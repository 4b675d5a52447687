#include "coordination/RoundTripTime.h"

#include <algorithm>

namespace sequoia::coordination {

namespace {

// Long enough for some samples without queueing on a host with little traffic.
constexpr Duration period = std::chrono::seconds(3);

}

void RoundTripTime::record(Duration sample, TimePoint now)
{
    if (now - this->periodStart >= period) {
        this->previous = now - this->periodStart < 2 * period ? this->current : std::nullopt;
        this->current.reset();
        this->periodStart = now;
    }
    this->current = this->current ? std::min(*this->current, sample) : sample;
}

void RoundTripTime::clear()
{
    this->current.reset();
    this->previous.reset();
}

Duration RoundTripTime::shortest(TimePoint now) const
{
    if (!this->current || now - this->periodStart >= 2 * period)
        return {};
    return this->previous ? std::min(*this->current, *this->previous) : *this->current;
}

}
