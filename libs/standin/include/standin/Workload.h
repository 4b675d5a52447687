#pragma once

#include "core/Clock.h"
#include "core/Error.h"
#include "core/Random.h"

#include <optional>
#include <random>
#include <string>
#include <vector>

namespace sequoia::standin {

//! What a load run sends. All values are checked by checkWorkload().
struct WorkloadOptions {
    std::vector<std::string> services { "default" };
    std::uint64_t keys = 1000; //!< per service
    double zipf = 1; //!< exponent; 0 makes all keys equally frequent
    Duration hotKeyChange {}; //!< time after which other keys become the hot ones; 0 for never
    double rate = 100; //!< requests per second
    Duration length = std::chrono::seconds(10);
    double writeFraction = 0.2;
    unsigned tenants = 1;
    std::uint64_t seed = 1;
};

Result<Success> checkWorkload(const WorkloadOptions& options);

struct PlannedRequest {
    Duration at {}; //!< since the start of the run
    std::uint64_t number = 0; //!< from 0
    std::string service;
    std::string key;
    std::string tenant;
    bool isWrite = false;
};

//! The sequence of requests: Poisson arrivals and Zipf distributed keys. The same seed gives the same sequence.
class Workload {
public:
    explicit Workload(const WorkloadOptions& workloadOptions);

    //! The next request, or nothing at the end of the run.
    std::optional<PlannedRequest> next();

private:
    std::uint64_t keyIndex(Duration at);

    WorkloadOptions options;
    RandomEngine engine;
    std::exponential_distribution<double> gap;
    std::discrete_distribution<std::uint64_t> rank;
    double seconds = 0;
    std::uint64_t nextNumber = 0;
};

}
