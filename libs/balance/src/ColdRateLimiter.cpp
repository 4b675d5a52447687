#include "balance/ColdRateLimiter.h"

#include <algorithm>

namespace sequoia::balance {

namespace {

// A rate of zero would mean that the service has no limit.
constexpr double minRate = 1e-3;

}

// The slack is used as burst, which is at least one request, so that the server is used at all. What the factor allows
// beyond the sustained rate is left for requests that arrive closer together than they were sent.
ColdLimits ColdLimits::within(double ratePerSecond, double factor, double slack, Duration period)
{
    double burst = std::max(1.0, slack);
    double seconds = std::chrono::duration<double>(ColdRateLimiter::window).count();
    double allowedRate = (factor * ratePerSecond + slack - burst) / seconds;
    return { std::max(minRate, std::min(ratePerSecond, allowedRate)), burst, period };
}

ColdRateLimiter::ColdRateLimiter(ColdLimits limits, TimePoint knownSince, TimePoint now)
    : coldLimits(limits)
    , firstStart(knownSince + window)
    , tokens(now >= this->firstStart ? limits.burst : std::min(1.0, limits.burst))
    , lastUpdate(std::max(now, this->firstStart))
{
}

void ColdRateLimiter::setLimits(const ColdLimits& limits, TimePoint now)
{
    this->setTokens(this->tokensAt(now), now);
    this->coldLimits = limits;
}

bool ColdRateLimiter::mayStart(TimePoint now) const
{
    return !this->coldLimits.avoid && now >= this->firstStart && this->tokensAt(now) >= 1;
}

double ColdRateLimiter::tokensAt(TimePoint now) const
{
    double seconds = std::max(0.0, std::chrono::duration<double>(now - this->lastUpdate).count());
    return std::min(this->coldLimits.burst, this->tokens + seconds * this->coldLimits.requestsPerSecond);
}

void ColdRateLimiter::setTokens(double count, TimePoint now)
{
    this->tokens = count;
    this->lastUpdate = std::max(this->lastUpdate, now);
}

// A warm server gets more requests than the bucket holds; they do not delay the first one after it has become cold.
double ColdRateLimiter::recordStart(TimePoint now)
{
    double before = this->tokensAt(now);
    double taken = std::clamp(before, 0.0, 1.0);
    this->setTokens(before - taken, now);
    return taken;
}

void ColdRateLimiter::undoStart(double taken, TimePoint now)
{
    this->setTokens(std::min(this->coldLimits.burst, this->tokensAt(now) + taken), now);
}

}
