#include "fleet/ServerListAge.h"

#include <algorithm>

namespace sequoia::fleet {

namespace {

// Bounds outside these limits are treated like the nearest of them, so that no setting overloads the store.
constexpr Duration minBound = std::chrono::milliseconds(500);
constexpr Duration maxBound = std::chrono::seconds(5);
// From a bound of two seconds on, these are used. Calls to the store are expensive.
constexpr Duration maxReadInterval = std::chrono::milliseconds(800);
constexpr Duration maxCheckInterval = std::chrono::milliseconds(200);
constexpr Duration longestUnconfirmed = std::chrono::milliseconds(900);
constexpr Duration longestAge = std::chrono::milliseconds(2400);
// An age is longer than this only if the coordinator has never read the list.
constexpr Duration maxAnnouncedAge = std::chrono::hours(1);

}

// When the coordinator loses the store, its last list is used for 0.7 of the bound; within 0.1, the host notices, and
// 0.2 are left for its own call. In normal operation a list is at most 0.4 of the bound old when it is read again, so
// that 0.3 are left for the call and for beacons, some of which may be lost.
ServerListTimes serverListTimes(Duration drainBound)
{
    auto bound = std::clamp(drainBound, minBound, maxBound);
    return { std::min(maxReadInterval, bound * 4 / 10), std::min(maxCheckInterval, bound / 10),
        std::min(longestAge, bound * 7 / 10), std::min(longestUnconfirmed, bound * 45 / 100) };
}

void ServerListAge::recordAnnouncedAge(Duration age, TimePoint now)
{
    this->announcedReadAt.reset();
    if (age <= maxAnnouncedAge)
        this->announcedReadAt = now - std::max(Duration::zero(), age);
}

bool ServerListAge::isAnnouncedCurrent(TimePoint now) const
{
    return this->announcedReadAt && now - *this->announcedReadAt < this->times.maxAge;
}

// A coordinator that does not reach the store would otherwise bring back servers that this host knows to be gone.
bool ServerListAge::acceptsCoordinatorList(TimePoint now) const
{
    return !this->listReadAt || this->isAnnouncedCurrent(now)
        || (this->announcedReadAt && *this->announcedReadAt >= *this->listReadAt);
}

bool ServerListAge::confirm(TimePoint now)
{
    if (!this->isAnnouncedCurrent(now))
        return false;
    this->listReadAt = this->announcedReadAt;
    this->confirmedAt = now;
    return true;
}

bool ServerListAge::isCurrent(TimePoint now) const
{
    return this->confirmedAt && now - *this->confirmedAt < this->times.maxUnconfirmed && this->listReadAt
        && now - *this->listReadAt < this->times.maxAge;
}

}
