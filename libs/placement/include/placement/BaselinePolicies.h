#pragma once

#include "placement/PlacementPolicy.h"

#include <map>

namespace sequoia::placement {

//! Assigns slice i to available server i modulo their number; a baseline without state.
class StaticHashingPolicy final : public PlacementPolicy {
public:
    std::string_view name() const override { return "static-hashing"; }
    PlacementPlan plan(const PlacementSnapshot& snapshot) override;
};

//! Weighted rendezvous hashing, a consistent hashing that ignores load. Weight is the first known capacity of a server.
class ConsistentHashingPolicy final : public PlacementPolicy {
public:
    std::string_view name() const override { return "consistent-hashing"; }
    PlacementPlan plan(const PlacementSnapshot& snapshot) override;

private:
    std::map<std::string, double> weights;
};

//! Moves slices from the server with the highest utilisation to the one with the lowest for as long as that lowers the
//! maximum, in each plan. Applies no hysteresis band, no move budget and no move cost.
class GreedyPolicy final : public PlacementPolicy {
public:
    std::string_view name() const override { return "greedy"; }
    PlacementPlan plan(const PlacementSnapshot& snapshot) override;
};

}
