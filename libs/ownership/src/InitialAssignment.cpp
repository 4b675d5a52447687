#include "InitialAssignment.h"

#include <cassert>
#include <limits>

namespace sequoia::ownership {

void assignInitially(wire::PartitionRecord& record, ServerSelector& selector, std::size_t slicesPerServer)
{
    assert(record.slices().empty());
    std::uint64_t count = selector.assignableServers().size() * slicesPerServer;
    assert(count > 0);
    constexpr KeyHash lastHash = std::numeric_limits<KeyHash>::max();
    KeyHash width = lastHash / count;
    for (std::uint64_t index = 0; index < count; ++index) {
        wire::Slice& slice = *record.add_slices();
        slice.set_first(index * width);
        slice.set_last(index + 1 == count ? lastHash : (index + 1) * width - 1);
        slice.set_owner(selector.ownerFor(""));
        selector.countOwner(slice.owner(), 1);
    }
}

}
