#pragma once

#include "core/Error.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <hosts.pb.h>
#include <string>

namespace sequoia::platform {

//! Largest value of a row.
constexpr std::size_t maxRowBytes = 1 << 20;
//! Largest object.
constexpr std::size_t maxObjectBytes = 16 << 20;
//! Longest name of a row, an object or a host.
constexpr std::size_t maxNameBytes = 256;

//! Runs once, on the GMainContext of the task that made the call, and never before the call has returned.
template <typename T> using Callback = std::function<void(Result<T>)>;

//! A row of the table service. Version 0 means that the row does not exist.
struct Row {
    std::string value;
    std::uint64_t version = 0;
};

//! Rows that are replaced as a whole by conditional writes.
class TableStore {
public:
    virtual ~TableStore() = default;

    //! Fails with Unavailable, MalformedMessage or InvalidArgument.
    virtual void readRow(const std::string& name, Callback<Row> callback) = 0;

    //! Replaces the row if its version is still `expectedVersion`; 0 creates it. Yields the new version. Fails
    //! with Conflict, Unavailable (not done for certain), OutcomeUnknown (may have been done, or may yet be
    //! done) or InvalidArgument (not done).
    virtual void writeRow(const std::string& name, const std::string& value, std::uint64_t expectedVersion,
        Callback<std::uint64_t> callback)
        = 0;
};

//! Named byte strings without versions.
class ObjectStore {
public:
    virtual ~ObjectStore() = default;

    //! Fails with Unavailable, OutcomeUnknown or InvalidArgument.
    virtual void putObject(const std::string& name, const std::string& bytes, Callback<Success> callback) = 0;

    //! Fails with NotFound, Unavailable, MalformedMessage or InvalidArgument.
    virtual void getObject(const std::string& name, Callback<std::string> callback) = 0;
};

//! The platform's host list, which lags behind reality.
class HostDirectory {
public:
    virtual ~HostDirectory() = default;

    //! Fails with Unavailable or MalformedMessage.
    virtual void readHosts(Callback<wire::HostList> callback) = 0;
};

}
