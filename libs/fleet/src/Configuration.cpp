#include "fleet/Configuration.h"

#include <algorithm>
#include <cassert>

namespace sequoia::fleet {

namespace {

//! FNV-1a hash, never zero.
std::uint32_t numberOf(const std::string& name)
{
    std::uint32_t hash = 2'166'136'261U;
    for (unsigned char byte : name)
        hash = (hash ^ byte) * 16'777'619U;
    return std::max(1U, hash);
}

//! Service that gets at least half of the requests of a route; empty if there is none.
std::string mainServiceOf(const Route& route)
{
    std::uint64_t total = 0;
    for (const auto& target : route.targets)
        total += target.weight;
    for (const auto& target : route.targets) {
        if (2 * std::uint64_t { target.weight } >= total)
            return target.service;
    }
    return {};
}

}

void Configuration::addRoute(Route route)
{
    assert(!route.targets.empty());
    route.number = numberOf(route.name);
    this->prioritiesOfService[mainServiceOf(route)].insert(route.priority);
    auto& routes = this->routesOfHost[route.host];
    auto prefix = route.prefix;
    if (routes.insert_or_assign(std::move(prefix), std::move(route)).second)
        ++this->count;
}

const Route* Configuration::match(std::string_view host, std::string_view path) const
{
    auto routes = this->routesOfHost.find(std::string(host));
    if (routes == this->routesOfHost.end())
        return nullptr;
    for (auto slash = path.rfind('/'); slash != std::string_view::npos;) {
        auto found = routes->second.find(std::string(path.substr(0, slash + 1)));
        if (found != routes->second.end())
            return &found->second;
        if (slash == 0)
            break;
        slash = path.rfind('/', slash - 1);
    }
    return nullptr;
}

const ServiceOptions* Configuration::service(std::string_view name) const
{
    auto found = this->services.find(name);
    return found == this->services.end() ? nullptr : &found->second;
}

bool Configuration::hasCompetingPriorities(std::string_view name) const
{
    auto found = this->prioritiesOfService.find(name);
    return !name.empty() && found != this->prioritiesOfService.end() && found->second.size() > 1;
}

std::set<std::string, std::less<>> Configuration::servicesWithCompetingPriorities() const
{
    std::set<std::string, std::less<>> result;
    for (const auto& [name, priorities] : this->prioritiesOfService) {
        if (this->hasCompetingPriorities(name))
            result.insert(name);
    }
    return result;
}

}
