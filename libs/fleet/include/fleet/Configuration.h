#pragma once

#include "core/Clock.h"
#include "core/EnumTable.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sequoia::fleet {

enum class RequestKind {
    Idempotent, //!< Safe to execute more than once, so it may be retried.
    NonIdempotent,
    Upload, //!< Has a large body; not idempotent.
};

inline constexpr EnumTable<RequestKind, 3> requestKindNames { {
    { RequestKind::Idempotent, "idempotent" },
    { RequestKind::NonIdempotent, "non-idempotent" },
    { RequestKind::Upload, "upload" },
} };

//! A target service of a route and its share of the traffic, relative to the weights of the other targets.
struct WeightedService {
    std::string service;
    std::uint32_t weight = 1;
};

//! Maps requests of one HTTP host and path prefix to services, with their limits and priority.
struct Route {
    std::string name;
    std::string host;
    std::string prefix; //!< starts and ends with a slash
    RequestKind kind = RequestKind::NonIdempotent;
    Duration timeout {}; //!< maximum time from the arrival of a request to the end of its response
    Duration targetLatency {}; //!< latency objective; responses within it have the highest value to the caller
    std::uint32_t priority = 0; //!< 0 is the highest priority
    std::uint32_t maxAttempts = 1; //!< maximum number of backend servers that one request is sent to
    std::vector<WeightedService> targets; //!< never empty
    std::uint32_t number = 0; //!< hash of the name, equal on all hosts; set by Configuration::addRoute()
};

//! Configured properties of a service.
struct ServiceOptions {
    std::string name;
    std::uint32_t maxConnections = 1; //!< maximum number of connections that one backend server accepts from all hosts
    bool keyed = false; //!< Each key is served only by the backend server that owns it.
    Duration warmup {}; //!< how long a backend server is slow after it receives a key without its state
    //! Requests per second that a cold backend server sustains; 0 if the service states no limit.
    double coldRequestsPerSecond = 0;
    Duration coldPeriod {}; //!< how long a backend server is cold after its start
};

//! Limits on the size and duration of requests from callers.
struct CallerLimits {
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = std::uint64_t { 64 } * 1024 * 1024;
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);
};

//! One version of the operators' configuration; must not be modified once it is in use.
class Configuration {
public:
    std::uint64_t version = 0;
    std::map<std::string, ServiceOptions, std::less<>> services;
    CallerLimits limits;

    void addRoute(Route route);
    //! Returns the route of the host with the longest matching path prefix, or null if none matches.
    const Route* match(std::string_view host, std::string_view path) const;
    //! Returns null if the service is unknown.
    const ServiceOptions* service(std::string_view name) const;
    std::size_t routeCount() const { return this->count; }
    //! Whether routes of different priority send most of their requests to the service, so that their callers compete
    //! for its servers.
    bool hasCompetingPriorities(std::string_view service) const;
    std::set<std::string, std::less<>> servicesWithCompetingPriorities() const;

private:
    //! Routes by HTTP host and path prefix, so that match() needs one lookup per slash in the path.
    std::unordered_map<std::string, std::unordered_map<std::string, Route>> routesOfHost;
    std::size_t count = 0;
    std::map<std::string, std::set<std::uint32_t>, std::less<>> prioritiesOfService;
};

}
