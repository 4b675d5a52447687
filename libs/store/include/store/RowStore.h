#pragma once

#include "core/Error.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace sequoia::store {

//! Version of a row, from one counter of the store; 0 means that the row does not exist.
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
    bool removed = false; //!< in changes only
};

//! Rows as of one moment.
struct RowPage {
    std::vector<Row> rows;
    RowVersion newest = 0; //!< newest version of the store at that moment
    std::optional<std::int64_t> storeMillis; //!< the store's own steady clock when it answered
};

struct ExpectedRow {
    RowName name;
    RowVersion version = 0;
};

struct WrittenRow {
    RowName name;
    std::string value;
};

//! Applied as a whole, if all expected rows have their versions.
struct Transaction {
    std::vector<ExpectedRow> expected;
    std::vector<WrittenRow> writes;
};

//! A transaction that was applied.
struct Committed {
    RowVersion version = 0; //!< of the written rows
    std::optional<std::int64_t> storeMillis; //!< the store's own steady clock when it answered
};

//! Rows with versions and conditional writes, kept outside of this process. Callbacks run on the caller's task.
//! Errors: Conflict (an expected version differs), Unavailable (not done), OutcomeUnknown (may have been done, or
//! may be done later), NotFound (follow: the history is gone; read the table anew).
class RowStore {
public:
    virtual ~RowStore() = default;

    using PageCallback = std::function<void(Result<RowPage>)>;
    using WriteCallback = std::function<void(Result<Committed>)>;

    //! All rows of a table.
    virtual void read(const std::string& table, PageCallback callback) = 0;
    //! Rows of a table that changed after a version, as soon as there is one or the wait is over.
    virtual void follow(const std::string& table, RowVersion after, std::int64_t waitMillis, PageCallback callback) = 0;
    virtual void write(const Transaction& transaction, WriteCallback callback) = 0;
};

}
