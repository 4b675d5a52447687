#pragma once

#include "core/Clock.h"
#include "core/Error.h"

#include <control.pb.h>
#include <record.pb.h>
#include <string>
#include <variant>
#include <vector>

namespace sequoia::lease {

//! Term of a promise request that asks only for an answer; terms of candidates begin at 1.
constexpr std::uint64_t probeTerm = 0;

//! Timing of the controller lease and identity of the controller for one partition.
struct LeaseOptions {
    std::string partition;
    wire::Process self;
    Duration leaseLength = std::chrono::milliseconds(800);
    Duration renewInterval = std::chrono::milliseconds(200);
    //! Lease of a backend server; waited for after a majority of the witnesses was lost.
    Duration serverLease = std::chrono::milliseconds(2000);
    double clockRateBound = 0.001;
    std::size_t witnessCount = 5;
};

//! A record with its version in the table service; version 0 means that the row does not exist.
struct VersionedRecord {
    wire::PartitionRecord record;
    std::uint64_t version = 0;
};

//! Result of reading the row.
struct RecordRead {
    Result<VersionedRecord> result;
};

//! Result of the conditional write `writeId`. Conflict: another version was found. OutcomeUnknown: the write may
//! still take effect. Any other error: it did not and will not take effect.
struct RecordWritten {
    std::uint64_t writeId = 0;
    Result<std::uint64_t> version;
};

//! A witness's reply to the request sent at `sentAt`.
struct PromiseAnswered {
    wire::PromiseReply reply;
    std::string witness;
    TimePoint sentAt;
    std::uint64_t term = 0; //!< term of the request
    std::uint64_t generation = 0; //!< generation of the request
    std::uint64_t recordVersion = 0; //!< record version of the request
};

struct ReadRecord { };

//! Conditional write: takes effect only while the row has `expectedVersion`.
struct WriteRecord {
    std::uint64_t writeId = 0;
    wire::PartitionRecord record;
    std::uint64_t expectedVersion = 0;
};

struct SendPromise {
    wire::Process witness;
    wire::PromiseRequest request;
};

//! An event for the time line; `fields` are key and value.
struct EmitEvent {
    std::string kind;
    std::vector<std::pair<std::string, std::string>> fields;
};

}
