#pragma once

#include "placement/PlacementPolicy.h"

namespace sequoia::placement {

//! Options of BalancingPolicy. The weights come from the settings of the deployment.
class BalancingOptions {
public:
    //! Weights of the three terms of the objective, each at least 0.
    BalancingOptions& weights(double imbalance, double churn, double unavailable);
    //! Maximum number of moves in one plan.
    BalancingOptions& maxMovesPerPlan(std::size_t moves);
    //! Minimum relative gain of the objective that justifies a move.
    BalancingOptions& minRelativeGain(double fraction);
    //! Hysteresis band: moves start above one imbalance and end below the other.
    BalancingOptions& imbalanceBand(double start, double end);
    //! Minimum number of slices per server; merges do not go below it.
    BalancingOptions& minSlicesPerServer(std::size_t slices);
    //! Time over which the share of an available server rises to the full one; each recent loss makes it four times
    //! as long.
    BalancingOptions& rampUpTime(Duration time);

private:
    friend class BalancingPolicy;
    double weightImbalance = 1;
    double weightChurn = 1;
    double weightUnavailable = 1;
    std::size_t maxMoves = 4;
    double gainFraction = 0.1;
    double bandStart = 1.08;
    double bandEnd = 1.04;
    std::size_t sliceMinimum = 16;
    Duration baseRampUpTime = std::chrono::seconds(60);
};

//! Moves slices off the server with the highest utilisation when the gain in balance outweighs the churn and the
//! unavailable time that the move costs. A hysteresis band and a maximum per plan limit the moves. Isolates hot keys.
class BalancingPolicy final : public PlacementPolicy {
public:
    explicit BalancingPolicy(BalancingOptions options);

    std::string_view name() const override { return "balancing"; }
    PlacementPlan plan(const PlacementSnapshot& snapshot) override;

private:
    class Planner;
    BalancingOptions options;
    bool isBalancing = false;
};

}
