#include "routing/RouteStore.h"

#include <algorithm>

namespace sequoia::routing {

RouteResult findRoute(const RouteSnapshot& routes, std::string_view service, KeyHash hash, TimePoint now)
{
    auto found = routes.find(service);
    if (found == routes.end())
        return RouteFailure::NoTable;
    const auto& route = found->second.table->lookup(hash);
    if (route.state() != wire::ROUTE_STATE_ACTIVE)
        return RouteFailure::NoOwner;
    // A server that checks orders rejects a request for a slice that it has lost; any other server runs it.
    if (!route.checks_orders() && now >= found->second.validUntil)
        return RouteFailure::Expired;
    return &route;
}

Result<RouteStore::Effect> RouteStore::update(
    const std::string& service, const wire::RouteTable& table, TimePoint requestedAt, Duration validity)
{
    RouteVersion offered { table.term(), table.version() };
    auto current = this->version(service);
    if (offered < current)
        return Effect::Ignored;
    if (offered == current && this->services.contains(service))
        return this->renew(service, offered, requestedAt, validity);
    auto checked = RouteTable::create(table);
    if (!succeeded(checked))
        return errorOf(checked);
    this->services[service]
        = { std::make_shared<const RouteTable>(std::move(valueOf(checked))), requestedAt + validity };
    return Effect::Replaced;
}

RouteStore::Effect RouteStore::renew(
    const std::string& service, const RouteVersion& requestedWith, TimePoint requestedAt, Duration validity)
{
    auto found = this->services.find(service);
    if (found == this->services.end() || found->second.table->version() != requestedWith)
        return Effect::Ignored;
    found->second.validUntil = std::max(found->second.validUntil, requestedAt + validity);
    return Effect::Renewed;
}

RouteVersion RouteStore::version(std::string_view service) const
{
    auto found = this->services.find(service);
    return found == this->services.end() ? RouteVersion {} : found->second.table->version();
}

std::shared_ptr<const RouteSnapshot> RouteStore::snapshot() const
{
    return std::make_shared<const RouteSnapshot>(this->services);
}

}
