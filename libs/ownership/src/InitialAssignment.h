#pragma once

#include "ServerSelector.h"

#include <record.pb.h>

namespace sequoia::ownership {

//! Splits the hash space into equal slices and distributes them over the assignable servers in proportion to
//! capacity. Sets only the owners.
void assignInitially(wire::PartitionRecord& record, ServerSelector& selector, std::size_t slicesPerServer);

}
