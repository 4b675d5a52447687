#include "placement/BalancingPolicy.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <optional>

namespace sequoia::placement {

namespace {

//! Adjacent slices of the same owner are merged when their joint load is at most this fraction of the mean server load.
constexpr double mergeLoadFraction = 0.02;
constexpr std::size_t maxMergesPerPlan = 4;
//! Time for which a slice is not served during a graceful move.
constexpr double moveUnavailableSeconds = 0.03;
//! Each recent loss multiplies the ramp-up time by this factor, since a server that was lost is likely to be lost
//! again.
constexpr double rampUpFactorPerLoss = 4;
constexpr unsigned maxLossesCounted = 4;

}

BalancingOptions& BalancingOptions::weights(double imbalance, double churn, double unavailable)
{
    assert(imbalance >= 0 && churn >= 0 && unavailable >= 0);
    this->weightImbalance = imbalance;
    this->weightChurn = churn;
    this->weightUnavailable = unavailable;
    return *this;
}

BalancingOptions& BalancingOptions::maxMovesPerPlan(std::size_t moves)
{
    this->maxMoves = moves;
    return *this;
}

BalancingOptions& BalancingOptions::minRelativeGain(double fraction)
{
    assert(fraction >= 0);
    this->gainFraction = fraction;
    return *this;
}

BalancingOptions& BalancingOptions::imbalanceBand(double start, double end)
{
    assert(start >= end && end >= 1);
    this->bandStart = start;
    this->bandEnd = end;
    return *this;
}

BalancingOptions& BalancingOptions::minSlicesPerServer(std::size_t count)
{
    this->sliceMinimum = count;
    return *this;
}

BalancingOptions& BalancingOptions::rampUpTime(Duration time)
{
    this->baseRampUpTime = time;
    return *this;
}

//! State of one call of plan(): the slices and loads as the moves chosen so far would leave them.
class BalancingPolicy::Planner {
public:
    Planner(const BalancingOptions& source, const PlacementSnapshot& current)
        : options(source)
        , snapshot(current)
        , slices(current.slices)
        , load(current.servers.size(), 0)
        , capacity(current.servers.size(), 0)
    {
        for (std::size_t i = 0; i < current.servers.size(); ++i)
            this->capacity[i] = this->usableCapacity(current.servers[i]);
        double totalCapacity = 0;
        for (double amount : this->capacity)
            totalCapacity += amount;
        for (const auto& slice : this->slices) {
            this->load[slice.server] += slice.load;
            this->totalLoad += slice.load;
        }
        this->meanUtilisation = totalCapacity > 0 ? this->totalLoad / totalCapacity : 0;
    }

    double imbalance() const
    {
        double highest = 0;
        for (std::size_t i = 0; i < this->load.size(); ++i)
            highest = std::max(highest, this->utilisation(i));
        return this->meanUtilisation > 0 ? highest / this->meanUtilisation : 1;
    }

    double meanServerLoad() const
    {
        return this->totalLoad / static_cast<double>(std::max<std::size_t>(1, this->usableServers()));
    }

    //! Chooses and applies the best move off the server with the highest utilisation; empty when no move gains enough.
    std::optional<SliceMove> nextMove()
    {
        auto source = this->mostLoaded();
        if (!source || this->meanUtilisation <= 0)
            return std::nullopt;
        std::optional<Candidate> best;
        for (std::size_t i = 0; i < this->slices.size(); ++i) {
            if (this->slices[i].server == *source && this->slices[i].load > 0)
                this->findBetterTarget(i, *source, best);
        }
        if (!best)
            return std::nullopt;
        this->apply(*best);
        return SliceMove { best->slice, best->target, "relative load above the mean" };
    }

    std::vector<SliceMerge> merges() const
    {
        std::vector<SliceMerge> result;
        std::size_t least = this->options.sliceMinimum * this->usableServers();
        double threshold = mergeLoadFraction * this->meanServerLoad();
        for (std::size_t i = 0; i + 1 < this->slices.size() && result.size() < maxMergesPerPlan; ++i) {
            if (this->slices.size() - result.size() <= least)
                break;
            bool sameOwner = this->slices[i].server == this->slices[i + 1].server;
            if (!sameOwner || this->slices[i].load + this->slices[i + 1].load > threshold)
                continue;
            result.push_back({ i });
            ++i;
        }
        return result;
    }

private:
    struct Candidate {
        std::size_t slice;
        std::size_t target;
        double gain;
    };

    double usableCapacity(const ServerSnapshot& server) const
    {
        if (!server.available)
            return 0;
        double factor = std::pow(rampUpFactorPerLoss, std::min(server.recentLosses, maxLossesCounted));
        double rampUpSeconds = std::chrono::duration<double>(this->options.baseRampUpTime).count() * factor;
        double age = std::chrono::duration<double>(this->snapshot.now - server.availableSince).count();
        return server.capacity * (rampUpSeconds > 0 ? std::clamp(age / rampUpSeconds, 0.0, 1.0) : 1);
    }

    std::size_t usableServers() const
    {
        return static_cast<std::size_t>(
            std::count_if(this->capacity.begin(), this->capacity.end(), [](double amount) { return amount > 0; }));
    }

    double utilisation(std::size_t server) const
    {
        return this->capacity[server] > 0 ? this->load[server] / this->capacity[server] : 0;
    }

    //! Index of the usable server with the highest utilisation.
    std::optional<std::size_t> mostLoaded() const
    {
        std::optional<std::size_t> result;
        for (std::size_t i = 0; i < this->load.size(); ++i) {
            if (this->capacity[i] > 0 && (!result || this->utilisation(i) > this->utilisation(*result)))
                result = i;
        }
        return result;
    }

    void findBetterTarget(std::size_t index, std::size_t source, std::optional<Candidate>& best) const
    {
        double sliceLoad = this->slices[index].load;
        double before = this->utilisation(source);
        for (std::size_t target = 0; target < this->load.size(); ++target) {
            if (target == source || this->capacity[target] <= 0)
                continue;
            double sourceAfter = (this->load[source] - sliceLoad) / this->capacity[source];
            double targetAfter = (this->load[target] + sliceLoad) / this->capacity[target];
            // Clamping at the mean makes moves that bring the source to the mean or below equal, so that the one that
            // moves less load gains more.
            double excessAfter = std::max({ sourceAfter, targetAfter, this->meanUtilisation });
            double reduction = (before - excessAfter) / this->meanUtilisation;
            double gain = this->options.weightImbalance * reduction - this->moveCost(sliceLoad);
            if (gain > this->requiredGain(before) && (!best || gain > best->gain))
                best = Candidate { index, target, gain };
        }
    }

    double moveCost(double sliceLoad) const
    {
        double share = sliceLoad / this->totalLoad;
        return share * (this->options.weightChurn + this->options.weightUnavailable * moveUnavailableSeconds);
    }

    double requiredGain(double utilisationBefore) const
    {
        double excess = utilisationBefore / this->meanUtilisation - 1;
        return this->options.gainFraction * this->options.weightImbalance * std::max(0.0, excess);
    }

    void apply(const Candidate& move)
    {
        auto& slice = this->slices[move.slice];
        this->load[slice.server] -= slice.load;
        this->load[move.target] += slice.load;
        slice.server = move.target;
    }

    const BalancingOptions& options;
    const PlacementSnapshot& snapshot;
    std::vector<SliceSnapshot> slices;
    std::vector<double> load;
    std::vector<double> capacity;
    double totalLoad = 0;
    double meanUtilisation = 0;
};

BalancingPolicy::BalancingPolicy(BalancingOptions chosen)
    : options(chosen)
{
}

PlacementPlan BalancingPolicy::plan(const PlacementSnapshot& snapshot)
{
    Planner planner(this->options, snapshot);
    PlacementPlan plan;
    if (snapshot.slices.empty() || snapshot.servers.empty())
        return plan;
    plan.isolations = findKeysToIsolate(snapshot);
    if (!plan.isolations.empty())
        return plan;
    // Between bandEnd and bandStart the previous decision stays in force, so that noise does not start moves.
    double current = planner.imbalance();
    this->isBalancing = current > this->options.bandStart || (this->isBalancing && current > this->options.bandEnd);
    while (this->isBalancing && plan.moves.size() < this->options.maxMoves
        && planner.imbalance() > this->options.bandEnd) {
        auto move = planner.nextMove();
        if (!move)
            break;
        plan.moves.push_back(*move);
    }
    if (plan.moves.empty())
        plan.merges = planner.merges();
    return plan;
}

}
