#pragma once

#include "keyspace/KeyLoad.h"
#include "keyspace/KeyPlan.h"

#include <map>
#include <vector>

namespace sequoia::keyspace {

//! Requests per second that each server can handle; zero for a server that must not get keys.
using ServerCapacities = std::map<fleet::ServerInstance, double>;

//! A move of keys to another server.
struct KeyMove {
    fleet::KeyRange keys;
    fleet::ServerInstance target;
};

//! How rebalancing treats servers that get more requests than they can handle.
enum class SurgePolicy {
    Gradual, //!< a few moves at a time, towards equal utilization
    //! Answers surges on adjacent keys: splits the keys of such a server at once among as many servers as it takes.
    SpreadImmediately,
};

//! Chooses moves from the most to the least utilized servers, if the imbalance justifies them. Has no side effects.
//! Spreads busy keys that are close together. A single hot key that exceeds the capacity of its server moves alone, to
//! the fastest server that has no hot key.
std::vector<KeyMove> chooseRebalancingMoves(const KeyPlan& plan, const KeyLoad& load,
    const ServerCapacities& capacities, SurgePolicy policy = SurgePolicy::Gradual);

//! Distributes the ranges marked in `needsOwner` by load and key count, in proportion to the capacities.
std::vector<KeyMove> assignOwners(
    const KeyPlan& plan, const std::vector<bool>& needsOwner, const KeyLoad& load, const ServerCapacities& capacities);

}
