#include "keyspace/Rebalancer.h"

#include <algorithm>
#include <cmath>

namespace sequoia::keyspace {

namespace {

// Keys move away from a server whose utilization exceeds the mean by this factor and is high enough that callers wait.
constexpr double overloadRatio = 1.25;
constexpr double minOverloadUtilization = 0.4;
// A difference in load must exceed this many standard deviations of a Poisson count over the averaging time.
constexpr double noiseDeviations = 2;
// Limits of moves per decision, for all servers and for one. During a move its keys wait for their running requests.
constexpr std::size_t minMoveLimit = 4;
constexpr std::size_t serversPerMove = 4;
constexpr int maxMovesFromServer = 3;
// A server with this many ranges gets no further ones by rebalancing, since each range costs renewals.
constexpr std::size_t maxRangesPerServer = 8;
// A key whose load exceeds the capacity of its server moves only to a server that is faster by this factor. Speeds are
// estimated to within about a tenth, so a key does not move back and forth between equal servers.
constexpr double minSpeedRatio = 1.3;
// A server whose hottest key uses less than this fraction of its capacity can take another hot key; its other keys
// move away then.
constexpr double freeForHotKeyFraction = 0.5;
// Keys of a server that cannot handle its requests move until it, and each server that takes some, has this
// utilization. Spreading them further would take more moves, each of which delays requests for its keys.
constexpr double utilizationAfterSurgeMove = 0.75;
// Limit of moves per decision during a surge. 200 adjacent keys with half of all requests need about one server in
// five.
constexpr std::size_t serversPerSurgeMove = 2;
// Load assumed for a key without traffic when owners are assigned, relative to the mean load of a key.
constexpr double idleKeyWeight = 0.3;

struct ServerUsage {
    fleet::ServerInstance server;
    double load = 0;
    double capacity = 0;

    double utilization() const { return this->capacity > 0 ? this->load / this->capacity : 0; }
};

std::vector<ServerUsage> computeUsage(const KeyPlan& plan, const KeyLoad& load, const ServerCapacities& capacities)
{
    std::map<fleet::ServerInstance, ServerUsage> byServer;
    for (const auto& [server, capacity] : capacities) {
        if (capacity > 0)
            byServer[server] = { server, 0, capacity };
    }
    for (const auto& range : plan.ranges) {
        const auto& futureOwner = range.successor ? range.successor->server : range.owner;
        auto found = byServer.find(futureOwner);
        if (found != byServer.end())
            found->second.load += load.rateOf(range.keys);
    }
    std::vector<ServerUsage> result;
    result.reserve(byServer.size());
    for (auto& [server, usage] : byServer)
        result.push_back(usage);
    return result;
}

//! Servers of a surge, by what they get beyond the utilization that they should have, or below it.
class SurgeTargets {
public:
    SurgeTargets(const KeyPlan& plan, const std::vector<ServerUsage>& usage, double utilization)
        : limit(utilization)
    {
        for (const auto& range : plan.ranges)
            ++this->rangeCounts[range.successor ? range.successor->server : range.owner];
        for (const auto& entry : usage)
            this->exhausted[entry.server] = entry.utilization() <= 1;
    }

    double excess(const ServerUsage& entry) const { return entry.load - this->limit * entry.capacity; }

    //! The server that exceeds its capacity most and still has keys that can move; null if there is none.
    ServerUsage* source(std::vector<ServerUsage>& usage) const
    {
        ServerUsage* found = nullptr;
        for (auto& entry : usage) {
            if (!this->exhausted.at(entry.server) && (!found || this->excess(entry) > this->excess(*found)))
                found = &entry;
        }
        return found;
    }

    //! The server with the most spare capacity; null if there is none.
    ServerUsage* target(std::vector<ServerUsage>& usage) const
    {
        ServerUsage* found = nullptr;
        for (auto& entry : usage) {
            auto ranges = this->rangeCounts.find(entry.server);
            if (this->excess(entry) >= 0 || (ranges != this->rangeCounts.end() && ranges->second >= maxRangesPerServer))
                continue;
            if (!found || this->excess(entry) < this->excess(*found))
                found = &entry;
        }
        return found;
    }

    void markExhausted(const ServerUsage& entry) { this->exhausted[entry.server] = true; }
    void addRange(const ServerUsage& entry) { ++this->rangeCounts[entry.server]; }

private:
    double limit;
    std::map<fleet::ServerInstance, std::size_t> rangeCounts;
    std::map<fleet::ServerInstance, bool> exhausted; //!< gets less than its capacity, or has no keys that can move
};

struct MoveCandidate {
    fleet::KeyRange keys;
    double load = 0;
};

//! The most keys at one end of a range whose load does not exceed the wanted load.
std::optional<MoveCandidate> keysAtRangeEnd(const KeyLoad& load, fleet::KeyRange range, double wanted, bool fromFront)
{
    MoveCandidate best;
    bool found = false;
    double total = load.rateOf(range);
    // Binary search over the number of keys, since the load grows with it.
    std::uint32_t low = 0;
    std::uint32_t high = range.size();
    while (low < high) {
        std::uint32_t count = (low + high + 1) / 2;
        double prefix
            = load.rateBelow(range.first + (fromFront ? count : range.size() - count)) - load.rateBelow(range.first);
        double part = fromFront ? prefix : total - prefix;
        if (part <= wanted) {
            low = count;
            auto first = fromFront ? range.first : static_cast<fleet::Key>(range.last - count + 1);
            auto last = fromFront ? static_cast<fleet::Key>(range.first + count - 1) : range.last;
            best = { { first, last }, part };
            found = true;
        } else
            high = count - 1;
    }
    if (!found)
        return std::nullopt;
    return best;
}

//! The keys of a server to move: those of the highest load within the wanted one and, of about equal loads, the fewest.
std::optional<MoveCandidate> chooseKeys(
    const KeyPlan& plan, const KeyLoad& load, const fleet::ServerInstance& from, double wanted)
{
    std::optional<MoveCandidate> best;
    for (const auto& range : plan.ranges) {
        if (range.successor || range.owner != from)
            continue;
        for (bool fromFront : { true, false }) {
            auto candidate = keysAtRangeEnd(load, range.keys, wanted, fromFront);
            if (candidate
                && (!best || candidate->load > best->load * 1.1
                    || (candidate->load > best->load * 0.9 && candidate->keys.size() < best->keys.size())))
                best = candidate;
        }
    }
    return best;
}

struct HotKey {
    fleet::Key key = 0;
    double load = 0;
};

//! The hottest key of each server, without ranges that are moving.
std::map<fleet::ServerInstance, HotKey> hottestKeys(const KeyPlan& plan, const KeyLoad& load)
{
    std::map<fleet::ServerInstance, HotKey> result;
    for (const auto& range : plan.ranges) {
        if (range.successor || range.owner.id.empty())
            continue;
        auto& hottest = result[range.owner];
        for (std::uint32_t key = range.keys.first; key <= range.keys.last; ++key) {
            auto single = static_cast<fleet::Key>(key);
            auto keyLoad = load.rateOf({ single, single });
            if (keyLoad > hottest.load)
                hottest = { single, keyLoad };
        }
    }
    return result;
}

//! Moves a key that alone exceeds the capacity of its server to the fastest server without a hot key. Requests beyond
//! the capacity of that server are refused, so its speed determines how many callers of the key are served.
std::optional<KeyMove> chooseHotKeyMove(const KeyPlan& plan, const KeyLoad& load, const std::vector<ServerUsage>& usage)
{
    auto hottest = hottestKeys(plan, load);
    const ServerUsage* from = nullptr;
    for (const auto& entry : usage) {
        const auto& hot = hottest[entry.server];
        double noise = noiseDeviations * std::sqrt(std::max(1.0, hot.load) / load.measuredSeconds());
        bool exceedsCapacity = hot.load > entry.capacity + noise;
        if (exceedsCapacity && (!from || hot.load > hottest[from->server].load))
            from = &entry;
    }
    if (!from)
        return std::nullopt;
    const ServerUsage* to = nullptr;
    for (const auto& entry : usage) {
        bool hasNoHotKey = hottest[entry.server].load < freeForHotKeyFraction * entry.capacity;
        if (hasNoHotKey && entry.capacity >= minSpeedRatio * from->capacity && (!to || entry.capacity > to->capacity))
            to = &entry;
    }
    if (!to)
        return std::nullopt;
    auto key = hottest[from->server].key;
    return KeyMove { { key, key }, to->server };
}

//! Removes keys at one end of a range from the plan.
void removeKeys(KeyPlan& plan, fleet::KeyRange keys)
{
    auto index = plan.rangeIndexOf(keys.first);
    auto& range = plan.ranges[index].keys;
    if (range == keys)
        plan.ranges.erase(plan.ranges.begin() + static_cast<std::ptrdiff_t>(index));
    else if (range.first == keys.first)
        range.first = static_cast<fleet::Key>(keys.last + 1);
    else
        range.last = static_cast<fleet::Key>(keys.first - 1);
}

std::size_t countRangesOf(const KeyPlan& plan, const fleet::ServerInstance& server)
{
    return static_cast<std::size_t>(std::count_if(
        plan.ranges.begin(), plan.ranges.end(), [&](const PlannedRange& range) { return range.owner == server; }));
}

//! Moves keys away from servers that get more requests than they can handle, within one decision. `plan` loses the keys
//! that are chosen.
void addSurgeMoves(KeyPlan& plan, const KeyLoad& load, std::vector<ServerUsage>& usage, double meanUtilization,
    std::vector<KeyMove>& moves)
{
    SurgeTargets servers(plan, usage, std::max(meanUtilization, utilizationAfterSurgeMove));
    auto limit = std::max(minMoveLimit, usage.size() / serversPerSurgeMove);
    while (moves.size() < limit) {
        auto* from = servers.source(usage);
        auto* to = servers.target(usage);
        if (!from || !to)
            break;
        double noise = noiseDeviations * std::sqrt(std::max(1.0, from->load) / load.measuredSeconds());
        double excess = servers.excess(*from);
        auto candidate = excess > noise ? chooseKeys(plan, load, from->server, std::min(excess, -servers.excess(*to)))
                                        : std::nullopt;
        if (!candidate || candidate->load <= 0) {
            servers.markExhausted(*from);
            continue;
        }
        moves.push_back({ candidate->keys, to->server });
        removeKeys(plan, candidate->keys);
        servers.addRange(*to);
        from->load -= candidate->load;
        to->load += candidate->load;
    }
}

}

std::vector<KeyMove> chooseRebalancingMoves(
    const KeyPlan& plan, const KeyLoad& load, const ServerCapacities& capacities, SurgePolicy policy)
{
    std::vector<KeyMove> moves;
    // Without the keys that have already been chosen to move.
    auto remainingPlan = plan;
    auto usage = computeUsage(plan, load, capacities);
    if (usage.size() < 2)
        return moves;
    double totalLoad = 0;
    double totalCapacity = 0;
    for (const auto& entry : usage) {
        totalLoad += entry.load;
        totalCapacity += entry.capacity;
    }
    double mean = totalLoad / totalCapacity;
    if (auto hotKeyMove = chooseHotKeyMove(plan, load, usage)) {
        moves.push_back(*hotKeyMove);
        auto moved = load.rateOf(hotKeyMove->keys);
        auto index = remainingPlan.rangeIndexOf(hotKeyMove->keys.first);
        for (auto& entry : usage) {
            if (entry.server == remainingPlan.ranges[index].owner)
                entry.load -= moved;
            else if (entry.server == hotKeyMove->target)
                entry.load += moved;
        }
        remainingPlan.ranges.erase(remainingPlan.ranges.begin() + static_cast<std::ptrdiff_t>(index));
    }
    if (policy == SurgePolicy::SpreadImmediately)
        addSurgeMoves(remainingPlan, load, usage, mean, moves);
    auto lessUtilized
        = [](const ServerUsage& left, const ServerUsage& right) { return left.utilization() < right.utilization(); };
    std::map<fleet::ServerInstance, int> movesFrom;
    auto limit = std::max(minMoveLimit, usage.size() / serversPerMove);
    while (moves.size() < limit) {
        std::sort(usage.begin(), usage.end(), lessUtilized);
        auto from = std::find_if(usage.rbegin(), usage.rend(),
            [&](const ServerUsage& entry) { return movesFrom[entry.server] < maxMovesFromServer; });
        auto& to = usage.front();
        if (from == usage.rend() || from->utilization() < overloadRatio * mean
            || from->utilization() < minOverloadUtilization)
            break;
        // Differences that random arrivals explain do not justify a move.
        double noise = noiseDeviations * std::sqrt(std::max(1.0, from->load) / load.measuredSeconds());
        if (from->load < mean * from->capacity + noise)
            break;
        ++movesFrom[from->server];
        double excess = (from->utilization() - mean) * from->capacity;
        double spareCapacity = (mean - to.utilization()) * to.capacity;
        auto candidate = chooseKeys(remainingPlan, load, from->server, std::min(excess, std::max(0.0, spareCapacity)));
        if (!candidate || candidate->load <= 0 || countRangesOf(plan, to.server) >= maxRangesPerServer)
            continue;
        moves.push_back({ candidate->keys, to.server });
        removeKeys(remainingPlan, candidate->keys);
        from->load -= candidate->load;
        to.load += candidate->load;
    }
    return moves;
}

std::vector<KeyMove> assignOwners(
    const KeyPlan& plan, const std::vector<bool>& needsOwner, const KeyLoad& load, const ServerCapacities& capacities)
{
    std::vector<KeyMove> moves;
    auto usage = computeUsage(plan, load, capacities);
    if (usage.empty())
        return moves;
    // Keys without traffic have a small weight, so that servers get equal shares before there is any traffic.
    double keyWeight = std::max(load.rateBelow(fleet::keyCount), 1.0) * idleKeyWeight / fleet::keyCount;
    double total = 0;
    double totalCapacity = 0;
    for (auto& entry : usage) {
        for (const auto& range : plan.ranges) {
            const auto& futureOwner = range.successor ? range.successor->server : range.owner;
            if (futureOwner == entry.server)
                entry.load += keyWeight * range.keys.size();
        }
        total += entry.load;
        totalCapacity += entry.capacity;
    }
    for (std::size_t i = 0; i < plan.ranges.size(); ++i) {
        if (needsOwner[i])
            total += load.rateOf(plan.ranges[i].keys) + keyWeight * plan.ranges[i].keys.size();
    }
    double mean = total / totalCapacity;
    auto lessUtilized
        = [](const ServerUsage& left, const ServerUsage& right) { return left.utilization() < right.utilization(); };
    for (std::size_t i = 0; i < plan.ranges.size(); ++i) {
        if (!needsOwner[i])
            continue;
        // Smaller pieces would only add ranges to renew.
        auto minPieceSize = std::min<std::uint32_t>(
            plan.ranges[i].keys.size() / 4, fleet::keyCount / (2 * static_cast<std::uint32_t>(usage.size())));
        std::uint32_t next = plan.ranges[i].keys.first;
        std::uint32_t end = std::uint32_t(plan.ranges[i].keys.last) + 1;
        while (next < end) {
            auto to = std::min_element(usage.begin(), usage.end(), lessUtilized);
            double spareCapacity = std::max((mean - to->utilization()) * to->capacity, keyWeight);
            // Binary search for the largest piece that fits into the share of the server.
            std::uint32_t low = next + 1;
            std::uint32_t high = end;
            while (low < high) {
                std::uint32_t middle = (low + high + 1) / 2;
                double part = load.rateBelow(middle) - load.rateBelow(next) + keyWeight * (middle - next);
                if (part <= spareCapacity)
                    low = middle;
                else
                    high = middle - 1;
            }
            low = std::min(end, std::max(low, next + minPieceSize));
            // A small remainder is not worth a range of its own.
            if (end - low < (end - next) / 8)
                low = end;
            to->load += load.rateBelow(low) - load.rateBelow(next) + keyWeight * (low - next);
            moves.push_back({ { static_cast<fleet::Key>(next), static_cast<fleet::Key>(low - 1) }, to->server });
            next = low;
        }
    }
    return moves;
}

}
