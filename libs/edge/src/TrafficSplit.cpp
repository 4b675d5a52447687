#include "edge/TrafficSplit.h"

#include <algorithm>
#include <cassert>

namespace sequoia::edge {

// Smooth weighted round robin: each service gains its weight as credit, and the one with the most credit is chosen and
// pays the total.
const std::string& TrafficSplit::nextService(const fleet::Route& route)
{
    assert(!route.targets.empty());
    if (route.targets.size() == 1)
        return route.targets.front().service;
    auto& credit = this->credits[route.name];
    credit.resize(route.targets.size(), 0);
    std::int64_t total = 0;
    for (std::size_t i = 0; i < route.targets.size(); ++i) {
        credit[i] += route.targets[i].weight;
        total += route.targets[i].weight;
    }
    auto best = std::max_element(credit.begin(), credit.end());
    *best -= total;
    return route.targets[static_cast<std::size_t>(best - credit.begin())].service;
}

}
