#include "edge/CallerCeilings.h"

#include <algorithm>

namespace sequoia::edge {

namespace {

// The rest of the memory is for the program, the state of the fleet, and what the allocator does not give back.
constexpr double memoryShare = 0.5;
// A request that is running needs a second descriptor for its server. The rest is for the store, other hosts and files.
constexpr double descriptorShare = 0.4;
constexpr double bytesPerMegabyte = 1e6;
// A smaller host still serves several requests with the largest buffers at once.
constexpr double minMemoryBytes = 8e6;
constexpr double minConnections = 16;

}

CallerCeilings CallerCeilings::ofHost(double megabytes, double descriptors)
{
    CallerCeilings ceilings;
    if (megabytes > 0)
        ceilings.memoryBytes
            = static_cast<std::size_t>(std::max(minMemoryBytes, megabytes * bytesPerMegabyte * memoryShare));
    if (descriptors > 0)
        ceilings.connections = static_cast<std::size_t>(std::max(minConnections, descriptors * descriptorShare));
    return ceilings;
}

}
