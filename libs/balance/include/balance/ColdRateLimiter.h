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

    bool operator==(const ColdLimits&) const = default;
};

//! Limits by service; services without limits are missing.
using ColdLimitsByService = std::map<std::string, ColdLimits, std::less<>>;

//! Token bucket for the requests to one cold backend server. Answers the load that crashes servers which start, or come
//! back, while callers wait for them. In any second a server gets at most `burst` plus `requestsPerSecond` requests.
class ColdRateLimiter {
public:
    //! `ownsHistory` is false if requests of the last second may have been counted elsewhere, by a preceding
    //! coordinator. The first request is allowed after such a second then.
    ColdRateLimiter(ColdLimits limits, bool ownsHistory, TimePoint now);

    bool mayStart(TimePoint now) const { return this->tokensAt(now) >= 1; }
    void recordStart(TimePoint now);
    //! Returns the token of a request that did not count.
    void undoStart(TimePoint now);
    const ColdLimits& limits() const { return this->coldLimits; }

private:
    double tokensAt(TimePoint now) const;

    ColdLimits coldLimits;
    double tokens;
    TimePoint lastUpdate;
};

}
