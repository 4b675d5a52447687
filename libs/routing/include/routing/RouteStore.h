#pragma once

#include "core/Clock.h"
#include "routing/RouteTable.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace sequoia::routing {

//! Routes of one service as a worker uses them.
struct ServiceRoutes {
    std::shared_ptr<const RouteTable> table;
    TimePoint validUntil; //!< Bounds only routes to servers that do not check orders.
};

//! Immutable routes of all services, keyed by service.
using RouteSnapshot = std::map<std::string, ServiceRoutes, std::less<>>;

//! Why a key has no usable route.
enum class RouteFailure {
    NoTable, //!< No route table has been received yet.
    NoOwner, //!< The slice is moving or has no owner now.
    Expired, //!< The server does not check orders and the route's validity has ended.
};

using RouteResult = std::variant<const wire::Route*, RouteFailure>;

//! The route to which a request for the hash may be sent now. The pointer lives as long as the snapshot.
RouteResult findRoute(const RouteSnapshot& routes, std::string_view service, KeyHash hash, TimePoint now);

//! Newest routes of each service; never goes backwards by (term, version).
class RouteStore {
public:
    enum class Effect {
        Replaced, //!< A newer table is in force.
        Renewed, //!< The same table, with extended validity.
        Ignored, //!< Older than the table in force, or about no table.
    };

    //! Takes in a table that was requested at `requestedAt`. Validity runs from then, not from the arrival.
    Result<Effect> update(
        const std::string& service, const wire::RouteTable& table, TimePoint requestedAt, Duration validity);

    //! Takes in the answer that the table known at the request is still the newest.
    Effect renew(
        const std::string& service, const RouteVersion& requestedWith, TimePoint requestedAt, Duration validity);

    //! (0, 0) while no table is known.
    RouteVersion version(std::string_view service) const;

    std::shared_ptr<const RouteSnapshot> snapshot() const;

private:
    RouteSnapshot services;
};

}
