#pragma once

#include "fleet/Configuration.h"

#include <map>
#include <string>
#include <vector>

namespace sequoia::edge {

//! Distributes the requests of a route among its services by weight, evenly over any run of requests.
class TrafficSplit {
public:
    const std::string& next(const fleet::Route& route);
    //! Forgets routes that are no longer configured.
    void clear() { this->credits.clear(); }

private:
    std::map<std::string, std::vector<std::int64_t>> credits;
};

}
