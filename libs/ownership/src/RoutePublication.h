#pragma once

#include "ServerSessions.h"
#include "SliceActivation.h"

#include <optional>

namespace sequoia::ownership {

//! Builds the route table of the current term. Its version increases with each change.
class RoutePublication {
public:
    explicit RoutePublication(wire::Process holder);

    const wire::RouteTable& current() const { return this->table; }

    //! Returns the new table when it differs from the published one.
    std::optional<wire::RouteTable> update(const wire::PartitionRecord& record, std::uint64_t term,
        ServerSessions& sessions, const SliceActivation& activation, TimePoint now);

private:
    static wire::Route routeOf(
        const wire::Slice& slice, const ServerSessions& sessions, const SliceActivation& activation, TimePoint now);
    static void updateRoutedRanges(const wire::RouteTable& table, ServerSessions& sessions, TimePoint now);

    wire::Process holder;
    wire::RouteTable table;
};

}
