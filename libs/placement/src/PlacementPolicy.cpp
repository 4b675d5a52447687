#include "placement/PlacementPolicy.h"

#include <algorithm>
#include <cassert>

namespace sequoia::placement {

namespace {

//! A key is isolated once its load reaches this fraction of the mean server load; below it, moving the whole slice is
//! as good.
constexpr double isolationLoadFraction = 0.10;

std::vector<double> serverLoads(const PlacementSnapshot& snapshot)
{
    std::vector<double> result(snapshot.servers.size(), 0);
    for (const auto& slice : snapshot.slices)
        result[slice.server] += slice.load;
    return result;
}

}

std::vector<double> utilisations(const PlacementSnapshot& snapshot)
{
    auto result = serverLoads(snapshot);
    for (std::size_t i = 0; i < result.size(); ++i) {
        const auto& server = snapshot.servers[i];
        result[i] = server.available && server.capacity > 0 ? result[i] / server.capacity : 0;
    }
    return result;
}

double imbalance(const PlacementSnapshot& snapshot)
{
    auto load = serverLoads(snapshot);
    double totalLoad = 0;
    double totalCapacity = 0;
    double highest = 0;
    for (std::size_t i = 0; i < load.size(); ++i) {
        const auto& server = snapshot.servers[i];
        if (!server.available || server.capacity <= 0)
            continue;
        totalLoad += load[i];
        totalCapacity += server.capacity;
        highest = std::max(highest, load[i] / server.capacity);
    }
    return totalLoad > 0 ? highest / (totalLoad / totalCapacity) : 1;
}

std::size_t findSliceIndex(const std::vector<SliceSnapshot>& slices, KeyHash hash)
{
    assert(!slices.empty());
    auto after = std::upper_bound(slices.begin(), slices.end(), hash,
        [](KeyHash value, const SliceSnapshot& slice) { return value < slice.first; });
    assert(after != slices.begin());
    return static_cast<std::size_t>(after - slices.begin()) - 1;
}

std::vector<KeyIsolation> findKeysToIsolate(const PlacementSnapshot& snapshot)
{
    std::vector<KeyIsolation> result;
    double total = 0;
    for (const auto& slice : snapshot.slices)
        total += slice.load;
    auto available = std::count_if(snapshot.servers.begin(), snapshot.servers.end(),
        [](const ServerSnapshot& server) { return server.available; });
    double threshold = isolationLoadFraction * total / static_cast<double>(std::max<std::ptrdiff_t>(1, available));
    for (const auto& key : snapshot.hotKeys) {
        const auto& slice = snapshot.slices[findSliceIndex(snapshot.slices, key.hash)];
        if (key.load >= threshold && threshold > 0 && slice.first != slice.last)
            result.push_back({ key.hash, key.load, "hot key" });
    }
    return result;
}

}
