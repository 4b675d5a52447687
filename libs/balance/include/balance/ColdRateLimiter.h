#pragma once

#include "core/Clock.h"

#include <map>
#include <string>

namespace sequoia::balance {

//! Rate of requests that a cold backend server of a service may get.
struct ColdLimits {
    double requestsPerSecond = 0; //!< zero: not limited
    double burst = 0; //!< requests at once, after a pause
    Duration period {}; //!< how long a server is cold after its start
    bool avoid = false; //!< no requests at all, since other hosts may use the server at the same time

    bool operator==(const ColdLimits&) const = default;
    //! Limits of a service whose cold servers sustain `ratePerSecond`, so that in no second more than `factor` times
    //! this rate and `slack` requests reach one of them.
    static ColdLimits within(double ratePerSecond, double factor, double slack, Duration period);
};

//! Limits by service; services without limits are missing.
using ColdLimitsByService = std::map<std::string, ColdLimits, std::less<>>;

//! Token bucket for the requests to one cold backend server. Answers the load that crashes servers which start, or come
//! back, while callers wait for them. In any second a server gets at most `burst` plus `requestsPerSecond` requests.
class ColdRateLimiter {
public:
    //! Requests that were sent longer ago than this no longer count: a second, and the variation of delivery delays.
    static constexpr Duration window = std::chrono::milliseconds(1200);

    //! Requests before `knownSince` may have been counted elsewhere, by a preceding coordinator. The first request is
    //! allowed a window later.
    ColdRateLimiter(ColdLimits limits, TimePoint knownSince, TimePoint now);

    //! Replaces the limits. Requests of the last second still count.
    void setLimits(const ColdLimits& limits, TimePoint now);
    bool mayStart(TimePoint now) const;
    //! Returns the part of a token that the request took.
    double recordStart(TimePoint now);
    //! Returns what recordStart() took for a request that did not count.
    void undoStart(double taken, TimePoint now);
    const ColdLimits& limits() const { return this->coldLimits; }

private:
    double tokensAt(TimePoint now) const;
    void setTokens(double count, TimePoint now);

    ColdLimits coldLimits;
    TimePoint firstStart;
    double tokens;
    TimePoint lastUpdate;
};

}
