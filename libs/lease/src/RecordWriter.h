#pragma once

#include "core/Random.h"
#include "lease/LeaseMessages.h"

#include <optional>

namespace sequoia::lease {

//! The one conditional write that may be unsettled. It is repeated unchanged until a row with another version
//! than the expected one shows whether it took effect.
class RecordWriter {
public:
    enum class Verdict {
        Unsettled,
        Applied,
        Superseded,
    };

    explicit RecordWriter(RandomEngine& random);

    bool isPending() const { return this->pending.has_value(); }
    //! The record being written; only while a write is pending.
    const wire::PartitionRecord& content() const { return this->pending->content; }

    WriteRecord begin(wire::PartitionRecord content, std::uint64_t expectedVersion, TimePoint now);

    //! The row version after an attempt that succeeded. Other answers schedule the next attempt; `readNeeded` is set
    //! when only a read can tell what happened.
    std::optional<std::uint64_t> onWritten(const RecordWritten& message, TimePoint now, bool& readNeeded);

    //! Settles the write when the row has a later version than the expected one.
    Verdict onRow(const VersionedRecord& row);

    //! The next attempt, when it is due.
    std::optional<WriteRecord> repeatIfDue(TimePoint now);

private:
    struct Pending {
        wire::PartitionRecord content;
        std::uint64_t expectedVersion = 0;
        std::uint64_t firstId = 0;
        TimePoint nextAttempt;
        Duration backoff;
    };

    WriteRecord attempt(TimePoint now);

    RandomEngine& random;
    std::uint64_t lastId = 0;
    std::optional<Pending> pending;
};

}
