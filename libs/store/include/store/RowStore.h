#pragma once

#include "core/Error.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace sequoia::store {

//! Version of a row, taken from a store-wide counter. Version 0 means that the row does not exist.
using RowVersion = std::uint64_t;

struct RowName {
    std::string table;
    std::string key;

    bool operator==(const RowName&) const = default;
};

struct Row {
    RowName name;
    std::string value;
    RowVersion version = 0;
    bool removed = false; //!< The row was deleted; set only in the result of waitForChanges().
};

//! Rows read from the store at one point in time.
struct RowSet {
    std::vector<Row> rows;
    RowVersion storeVersion = 0; //!< latest version in the store at that time
    std::optional<std::int64_t> storeMillis; //!< monotonic clock of the store when it answered
};

struct ExpectedRow {
    RowName name;
    RowVersion version = 0;
};

struct RowWrite {
    RowName name;
    std::string value;
};

//! Conditional write: all writes are applied atomically if all expected rows have the given versions.
struct Transaction {
    std::vector<ExpectedRow> expected;
    std::vector<RowWrite> writes;
};

//! Describes a transaction that was committed.
struct CommitInfo {
    RowVersion version = 0; //!< version of the written rows
    std::optional<std::int64_t> storeMillis; //!< monotonic clock of the store when it answered
};

//! Client interface of an external store of versioned rows with conditional writes. Callbacks run on the task
//! that made the call. Errors: Conflict (an expected version differs), Unavailable (not executed), OutcomeUnknown (may
//! have been executed, or may be executed later), NotFound (waitForChanges() only: the change history no longer reaches
//! back to the version, and the table must be read again).
class RowStore {
public:
    virtual ~RowStore() = default;

    using RowsCallback = std::function<void(Result<RowSet>)>;
    using CommitCallback = std::function<void(Result<CommitInfo>)>;

    //! Reads all rows of a table.
    virtual void read(const std::string& table, RowsCallback callback) = 0;
    //! Long poll for the rows of a table that changed after a version; ends after `waitMillis` at the latest.
    virtual void waitForChanges(
        const std::string& table, RowVersion after, std::int64_t waitMillis, RowsCallback callback)
        = 0;
    virtual void write(const Transaction& transaction, CommitCallback callback) = 0;
};

}
