#pragma once

#include <cstdint>

namespace sequoia::balance {

//! Load that a backend server stated in a response.
struct ServerReport {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    std::uint32_t pacePercent = 0; //!< duration of work relative to the usual one, 100; 0 if not stated

    bool operator==(const ServerReport&) const = default;
};

//! Bounds of the figures, above which a report cannot be true.
constexpr std::uint32_t maxReportedRequests = 100'000;
constexpr std::uint32_t maxPacePercent = 10'000;

}
