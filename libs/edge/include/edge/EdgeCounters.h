#pragma once

#include <cstdint>

namespace sequoia::edge {

//! Counts since the start of the process.
struct EdgeCounters {
    std::uint64_t requests = 0;
    std::uint64_t answered = 0; //!< responses of backend servers that were forwarded
    std::uint64_t refused = 0; //!< local responses stating that the request was not executed
    std::uint64_t failed = 0; //!< local responses to requests that may have been executed
    std::uint64_t callersGone = 0;
    std::uint64_t attempts = 0; //!< requests sent to backend servers
    std::uint64_t connections = 0; //!< callers' connections accepted
    std::uint64_t invalidLoadReports = 0; //!< of servers, ignored or bounded
};

}
