#include "routing/RouteTable.h"

#include <algorithm>
#include <cassert>
#include <limits>

namespace sequoia::routing {

namespace {

constexpr KeyHash lastHash = std::numeric_limits<KeyHash>::max();

Error malformed(const wire::RouteTable& table, const std::string& what)
{
    return Error { ErrorKind::MalformedMessage, "route table of " + table.partition() + ": " + what,
        "compare the program versions of the controllers; the table in use stays in force" };
}

std::string rangeOf(const wire::Route& route)
{
    return "[" + std::to_string(route.first()) + ", " + std::to_string(route.last()) + "]";
}

}

RouteTable::RouteTable(wire::RouteTable checked)
    : table(std::move(checked))
{
}

Result<RouteTable> RouteTable::create(wire::RouteTable table)
{
    if (table.routes().empty())
        return malformed(table, "it has no routes");
    if (table.routes(0).first() != 0)
        return malformed(table, "the hash space below " + std::to_string(table.routes(0).first()) + " has no route");
    const wire::Route* previous = nullptr;
    for (const auto& route : table.routes()) {
        if (route.last() < route.first())
            return malformed(table, "the range " + rangeOf(route) + " is reversed");
        // No route can follow the one that ends the hash space; last + 1 would wrap to 0.
        if (previous && (previous->last() == lastHash || route.first() != previous->last() + 1))
            return malformed(table, "the ranges " + rangeOf(*previous) + " and " + rangeOf(route) + " do not adjoin");
        if (route.state() == wire::ROUTE_STATE_ACTIVE && route.address().empty())
            return malformed(table, "the active range " + rangeOf(route) + " has no address");
        previous = &route;
    }
    assert(previous);
    if (previous->last() != lastHash)
        return malformed(table, "the hash space above " + std::to_string(previous->last()) + " has no route");
    return RouteTable(std::move(table));
}

const wire::Route& RouteTable::lookup(KeyHash hash) const
{
    const auto& routes = this->table.routes();
    auto after = std::upper_bound(routes.begin(), routes.end(), hash,
        [](KeyHash value, const wire::Route& route) { return value < route.first(); });
    assert(after != routes.begin());
    return *std::prev(after);
}

RouteVersion RouteTable::version() const
{
    return { this->table.term(), this->table.version() };
}

}
