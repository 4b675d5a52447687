#include "RecordCheck.h"

#include "Assignment.h"

#include <limits>
#include <set>

namespace sequoia::ownership {

namespace {

std::string findRangeError(const wire::PartitionRecord& record)
{
    KeyHash next = 0;
    for (const wire::Slice& slice : record.slices()) {
        if (slice.first() != next || slice.last() < slice.first())
            return "slice " + describe(rangeOf(slice)) + " does not continue the one before it";
        next = slice.last() + 1;
    }
    // After the last slice the next hash wraps around to 0.
    return next == 0 ? "" : "the last slice does not end at the last hash";
}

std::string findServerError(const wire::Slice& slice)
{
    if (slice.owner().empty())
        return "slice " + describe(rangeOf(slice)) + " has no owner";
    if (slice.owner() == slice.successor())
        return "slice " + describe(rangeOf(slice)) + " has the same owner and successor";
    bool hasOtherMoveTarget = !slice.move_target().empty() && slice.move_target() != slice.successor();
    return hasOtherMoveTarget ? "slice " + describe(rangeOf(slice)) + " moves to a server that is not its successor"
                              : "";
}

}

std::string findRecordError(const wire::PartitionRecord& record)
{
    if (record.slices().empty())
        return "";
    if (std::string error = findRangeError(record); !error.empty())
        return error;
    std::set<EpochValue> epochs;
    auto isNew = [&](const wire::Epoch& epoch) {
        return epoch.sequence() < record.next_sequence() && epochs.insert(EpochValue(epoch)).second;
    };
    for (const wire::Slice& slice : record.slices()) {
        if (std::string error = findServerError(slice); !error.empty())
            return error;
        if (!isNew(slice.epoch()) || (!slice.successor().empty() && !isNew(slice.successor_epoch())))
            return "slice " + describe(rangeOf(slice)) + " has an epoch that is not unique";
    }
    return "";
}

}
