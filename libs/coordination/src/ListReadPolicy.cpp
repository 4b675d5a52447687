#include "coordination/ListReadPolicy.h"

namespace sequoia::coordination {

namespace {

// With this many hosts or fewer, a host reads the list as soon as it has no current one.
constexpr std::uint32_t hostsWithImmediateReads = 100;
// A new host waits for the coordinator's row, which names the number of hosts, for this time at most.
constexpr Duration rowTimeout = std::chrono::milliseconds(300);
// Two beacon intervals. Hosts place jobs by their own lists 500 ms after the last beacon, so the list is read before.
constexpr Duration beaconTimeout = std::chrono::milliseconds(300);
// The first beacons of a new coordinator name no list yet. A host whose own list was read within the second time waits
// for the confirmation for the first time, counted from the first beacon: that list is younger than a confirmed one may
// be.
constexpr Duration confirmationWait = std::chrono::milliseconds(600);
constexpr Duration maxListAgeInWait = std::chrono::milliseconds(1000);
// A host without a list waits for the first beacon for this time after its start.
constexpr Duration firstBeaconWait = std::chrono::milliseconds(800);
// A host without a list waits for the coordinator's copy for the first time, and for up to the second for each host
// more: the coordinator needs longer when many hosts are new, and those that give up do not do so together.
constexpr Duration minCopyWait = std::chrono::milliseconds(1000);
constexpr Duration copyWaitPerHost = std::chrono::milliseconds(10);

}

ListReadPolicy::ListReadPolicy(RandomEngine& random, TimePoint now)
    : jitter(std::uniform_real_distribution<double>(0, 1)(random))
    , started(now)
{
}

void ListReadPolicy::setStoredHostCount(std::uint32_t hosts, TimePoint now)
{
    this->hostCountAsked = true;
    if (this->lastBeacon == TimePoint() || now - this->lastBeacon >= beaconTimeout)
        this->hostCount = hosts;
}

void ListReadPolicy::onBeacon(std::uint64_t newTerm, std::uint32_t hosts, TimePoint now)
{
    if (newTerm != this->term) {
        this->term = newTerm;
        this->termSeenAt = now;
    }
    this->hostCount = hosts;
    this->lastBeacon = now;
}

bool ListReadPolicy::mustRead(const ListState& list, TimePoint now)
{
    if (list.isCurrent || !this->mayWait(list, now)) {
        this->waitingSince.reset();
        return !list.isCurrent;
    }
    if (!this->waitingSince)
        this->waitingSince = now;
    return now - *this->waitingSince >= this->copyWait();
}

bool ListReadPolicy::mayWait(const ListState& list, TimePoint now) const
{
    if (!list.exists)
        return this->mayWaitForFirstList(now);
    return this->hostCount > hostsWithImmediateReads && now - this->lastBeacon < beaconTimeout
        && now - this->termSeenAt < confirmationWait && now - list.lastRead < maxListAgeInWait;
}

// Without a list, a host takes no connections and places no jobs, so that waiting makes nothing it does older.
bool ListReadPolicy::mayWaitForFirstList(TimePoint now) const
{
    bool heardBeacon = this->lastBeacon != TimePoint();
    if (!heardBeacon && !this->hostCountAsked)
        return now - this->started < rowTimeout;
    if (this->hostCount <= hostsWithImmediateReads)
        return false;
    return heardBeacon ? now - this->lastBeacon < beaconTimeout : now - this->started < firstBeaconWait;
}

Duration ListReadPolicy::copyWait() const
{
    double perHost = this->jitter * static_cast<double>(copyWaitPerHost.count());
    return minCopyWait + Duration(static_cast<std::int64_t>(perHost * this->hostCount));
}

}
