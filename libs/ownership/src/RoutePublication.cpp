#include "RoutePublication.h"

#include <map>
#include <utility>
#include <vector>

namespace sequoia::ownership {

RoutePublication::RoutePublication(wire::Process holder)
    : holder(std::move(holder))
{
}

std::optional<wire::RouteTable> RoutePublication::update(const wire::PartitionRecord& record, std::uint64_t term,
    ServerSessions& sessions, const SliceActivation& activation, TimePoint now)
{
    wire::RouteTable next;
    next.set_partition(record.partition());
    next.set_term(term);
    for (const wire::Slice& slice : record.slices())
        *next.add_routes() = routeOf(slice, sessions, activation, now);
    bool isSameTerm = this->table.term() == term;
    next.set_version(isSameTerm ? this->table.version() : 0);
    *next.mutable_holder() = this->holder;
    // Equal messages without maps and unknown fields have equal encodings, and comparing encodings is much faster
    // than comparing by reflection.
    if (isSameTerm && next.SerializeAsString() == this->table.SerializeAsString())
        return std::nullopt;
    next.set_version(next.version() + 1);
    this->table = next;
    updateRoutedRanges(next, sessions, now);
    return next;
}

wire::Route RoutePublication::routeOf(
    const wire::Slice& slice, const ServerSessions& sessions, const SliceActivation& activation, TimePoint now)
{
    HashRange range = rangeOf(slice);
    const ServerSession* active = activation.assignedTo(slice);
    const ServerSession* owner = sessions.find(slice.owner());
    // Until the owner has been probed it may serve under an earlier term. If it may not, it refuses requests itself.
    bool isOwnerAsked = !owner || owner->isFencedOrExpired(now) || !owner->hostEntry().checks_orders();
    const ServerSession* server = active ? active : isOwnerAsked ? nullptr : owner;
    wire::Route route;
    route.set_first(range.first);
    route.set_last(range.last);
    bool isServed = server && (!active || active->isConfirmed(range));
    if (isServed)
        route.set_state(wire::ROUTE_STATE_ACTIVE);
    else
        route.set_state(sessions.isReleasing(range) ? wire::ROUTE_STATE_MOVING : wire::ROUTE_STATE_UNAVAILABLE);
    if (!server)
        return route;
    bool isOwner = server->serverId() == slice.owner();
    route.set_server(server->serverId());
    route.set_address(server->hostEntry().address());
    route.set_checks_orders(server->hostEntry().checks_orders());
    *route.mutable_epoch() = isOwner ? slice.epoch() : slice.successor_epoch();
    return route;
}

void RoutePublication::updateRoutedRanges(const wire::RouteTable& table, ServerSessions& sessions, TimePoint now)
{
    std::map<std::string, std::vector<HashRange>> routed;
    for (const wire::Route& route : table.routes()) {
        if (route.state() == wire::ROUTE_STATE_ACTIVE && !route.checks_orders())
            routed[route.server()].push_back({ route.first(), route.last() });
    }
    for (auto& [id, session] : sessions) {
        if (!session.hostEntry().checks_orders())
            session.setRouted(routed[id], now);
    }
}

}
