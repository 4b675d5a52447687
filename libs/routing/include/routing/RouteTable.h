#pragma once

#include "core/Error.h"
#include "core/KeyHash.h"

#include <record.pb.h>
#include <tuple>

namespace sequoia::routing {

//! Order of route tables: by term, then by version.
struct RouteVersion {
    std::uint64_t term = 0;
    std::uint64_t version = 0;

    bool operator==(const RouteVersion&) const = default;
    bool operator<(const RouteVersion& other) const
    {
        return std::tie(this->term, this->version) < std::tie(other.term, other.version);
    }
};

//! A checked route table: its routes are ordered and cover the hash space without gap or overlap. Immutable.
class RouteTable {
public:
    //! Fails with MalformedMessage when the routes do not cover the hash space exactly once.
    static Result<RouteTable> create(wire::RouteTable table);

    //! The route of the slice that contains the hash.
    const wire::Route& lookup(KeyHash hash) const;

    RouteVersion version() const;
    const wire::RouteTable& message() const { return this->table; }

private:
    explicit RouteTable(wire::RouteTable checked);

    wire::RouteTable table;
};

}
