#include "placement/BaselinePolicies.h"

#include <algorithm>
#include <cmath>

namespace sequoia::placement {

namespace {

constexpr std::size_t maxGreedyMovesPerPlan = 1000;

std::vector<std::size_t> availableServers(const PlacementSnapshot& snapshot)
{
    std::vector<std::size_t> result;
    for (std::size_t i = 0; i < snapshot.servers.size(); ++i) {
        if (snapshot.servers[i].available && snapshot.servers[i].capacity > 0)
            result.push_back(i);
    }
    return result;
}

double rendezvousScore(const std::string& server, double weight, KeyHash first)
{
    // Weighted rendezvous hashing: -weight / ln(u) with u uniform in (0, 1).
    KeyHash hash = keyHash(server, std::to_string(first));
    double uniform = (static_cast<double>(hash >> 11) + 0.5) / std::exp2(53);
    return -weight / std::log(uniform);
}

struct UtilisationExtremes {
    std::size_t highest;
    std::size_t lowest;
};

UtilisationExtremes findUtilisationExtremes(
    const std::vector<std::size_t>& servers, const std::vector<double>& utilisation)
{
    auto less = [&](std::size_t left, std::size_t right) { return utilisation[left] < utilisation[right]; };
    auto [lowest, highest] = std::minmax_element(servers.begin(), servers.end(), less);
    return { *highest, *lowest };
}

}

PlacementPlan StaticHashingPolicy::plan(const PlacementSnapshot& snapshot)
{
    PlacementPlan plan;
    auto servers = availableServers(snapshot);
    for (std::size_t i = 0; i < snapshot.slices.size() && !servers.empty(); ++i) {
        auto target = servers[i % servers.size()];
        if (snapshot.slices[i].server != target)
            plan.moves.push_back({ i, target, "static hashing" });
    }
    return plan;
}

PlacementPlan ConsistentHashingPolicy::plan(const PlacementSnapshot& snapshot)
{
    PlacementPlan plan;
    auto servers = availableServers(snapshot);
    // The first capacity stays the weight: weights that follow each measurement would move slices with its noise.
    for (const auto& server : snapshot.servers)
        this->weights.try_emplace(server.id, server.capacity);
    auto score = [this, &snapshot](std::size_t server, KeyHash first) {
        const auto& id = snapshot.servers[server].id;
        return rendezvousScore(id, this->weights.at(id), first);
    };
    for (std::size_t i = 0; i < snapshot.slices.size() && !servers.empty(); ++i) {
        auto target = *std::max_element(servers.begin(), servers.end(), [&](std::size_t left, std::size_t right) {
            auto first = snapshot.slices[i].first;
            return score(left, first) < score(right, first);
        });
        if (snapshot.slices[i].server != target)
            plan.moves.push_back({ i, target, "consistent hashing" });
    }
    return plan;
}

PlacementPlan GreedyPolicy::plan(const PlacementSnapshot& snapshot)
{
    PlacementPlan plan;
    auto servers = availableServers(snapshot);
    plan.isolations = findKeysToIsolate(snapshot);
    if (servers.size() < 2 || !plan.isolations.empty())
        return plan;
    PlacementSnapshot current = snapshot;
    while (plan.moves.size() < maxGreedyMovesPerPlan) {
        auto utilisation = utilisations(current);
        auto [source, target] = findUtilisationExtremes(servers, utilisation);
        double capacity = current.servers[target].capacity;
        std::size_t best = current.slices.size();
        double bestAfter = utilisation[source];
        for (std::size_t i = 0; i < current.slices.size(); ++i) {
            const auto& slice = current.slices[i];
            if (slice.server != source || slice.load <= 0)
                continue;
            double after = std::max(utilisation[source] - slice.load / current.servers[source].capacity,
                utilisation[target] + slice.load / capacity);
            if (after < bestAfter) {
                bestAfter = after;
                best = i;
            }
        }
        if (best == current.slices.size())
            break;
        current.slices[best].server = target;
        plan.moves.push_back({ best, target, "greedy" });
    }
    return plan;
}

}
