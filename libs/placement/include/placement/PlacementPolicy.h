#pragma once

#include "core/Clock.h"
#include "core/KeyHash.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace sequoia::placement {

//! State of a backend server. Capacity and load are in requests per second.
struct ServerSnapshot {
    std::string id;
    double capacity = 0; //!< slots divided by the measured service time
    bool available = true; //!< holds a lease and is not leaving
    TimePoint availableSince; //!< start of the current period of availability
    unsigned recentLosses = 0; //!< losses within the observation period
};

struct SliceSnapshot {
    KeyHash first = 0;
    KeyHash last = 0;
    std::size_t server = 0; //!< index into PlacementSnapshot::servers
    double load = 0;
};

struct HotKey {
    KeyHash hash = 0;
    double load = 0;
};

struct PlacementSnapshot {
    TimePoint now;
    std::vector<ServerSnapshot> servers;
    std::vector<SliceSnapshot> slices; //!< ordered by first, without gaps
    std::vector<HotKey> hotKeys; //!< highest load first
};

//! Splits the slice that contains a hot key into up to three slices, one of which holds only the key.
struct KeyIsolation {
    KeyHash hash = 0;
    double load = 0; //!< measured load of the key
    std::string reason;
};

//! Merges a slice with the next one, which has the same owner.
struct SliceMerge {
    std::size_t slice = 0;
};

struct SliceMove {
    std::size_t slice = 0; //!< index into PlacementSnapshot::slices
    std::size_t target = 0; //!< index into PlacementSnapshot::servers
    std::string reason;
};

//! Either changes slices (isolations and merges) or moves them, since all indices refer to the slices of the snapshot.
struct PlacementPlan {
    std::vector<KeyIsolation> isolations;
    std::vector<SliceMerge> merges;
    std::vector<SliceMove> moves;
};

//! Decides which backend server owns which slice. Called once per placement interval.
class PlacementPolicy {
public:
    virtual ~PlacementPolicy() = default;
    virtual std::string_view name() const = 0;
    virtual PlacementPlan plan(const PlacementSnapshot& snapshot) = 0;
};

//! Load divided by capacity, for each server; 0 for one that is not available.
std::vector<double> utilisations(const PlacementSnapshot& snapshot);

//! Maximum utilisation of the available servers divided by their mean utilisation; 1 is perfect balance.
double imbalance(const PlacementSnapshot& snapshot);

//! Index of the slice that contains the hash.
std::size_t findSliceIndex(const std::vector<SliceSnapshot>& slices, KeyHash hash);

//! Hot keys that make up a considerable fraction of the mean server load and do not have a slice of their own yet.
std::vector<KeyIsolation> findKeysToIsolate(const PlacementSnapshot& snapshot);

}
