#pragma once

#include <record.pb.h>
#include <string>

namespace sequoia::ownership {

//! Describes the first error in the slices of a record; empty when they are valid. Ranges must cover the hash space
//! without gaps, owner and successor must differ, and epochs must be unique and below next_sequence.
std::string findRecordError(const wire::PartitionRecord& record);

}
