#pragma once

#include <cstddef>

namespace sequoia::edge {

//! Ceilings for the sum of all callers; 0 is no ceiling.
struct CallerCeilings {
    std::size_t memoryBytes = 0;
    std::size_t connections = 0;

    //! Derives the ceilings from the limits of the host; 0 is no limit.
    static CallerCeilings ofHost(double megabytes, double descriptors);
};

}
