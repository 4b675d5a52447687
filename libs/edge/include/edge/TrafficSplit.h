#pragma once

#include "fleet/Configuration.h"

#include <map>
#include <string>
#include <vector>

namespace sequoia::edge {

//! Distributes the requests of a route among its services by weight, interleaved evenly (smooth weighted round robin).
class TrafficSplit {
public:
    const std::string& nextService(const fleet::Route& route);
    //! Clears the state of all routes, for a new configuration.
    void clear() { this->credits.clear(); }

private:
    std::map<std::string, std::vector<std::int64_t>> credits;
};

}
