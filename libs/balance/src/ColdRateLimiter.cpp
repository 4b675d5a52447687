#include "balance/ColdRateLimiter.h"

#include <algorithm>

namespace sequoia::balance {

ColdRateLimiter::ColdRateLimiter(ColdLimits limits, bool ownsHistory, TimePoint now)
    : coldLimits(limits)
    , tokens(ownsHistory ? limits.burst : -limits.burst)
    , lastUpdate(now)
{
}

double ColdRateLimiter::tokensAt(TimePoint now) const
{
    double seconds = std::chrono::duration<double>(now - this->lastUpdate).count();
    return std::min(this->coldLimits.burst, this->tokens + seconds * this->coldLimits.requestsPerSecond);
}

// A warm server gets more requests than the bucket holds; they do not delay the first one after it has become cold.
void ColdRateLimiter::recordStart(TimePoint now)
{
    this->tokens = std::max(std::min(0.0, this->tokens), this->tokensAt(now) - 1);
    this->lastUpdate = now;
}

void ColdRateLimiter::undoStart(TimePoint now)
{
    this->tokens = std::min(this->coldLimits.burst, this->tokensAt(now) + 1);
    this->lastUpdate = now;
}

}
