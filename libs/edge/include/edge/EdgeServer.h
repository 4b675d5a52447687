#pragma once

#include "client/ConnectionPool.h"
#include "edge/CallerCeilings.h"
#include "edge/CallerLimitLog.h"
#include "edge/EdgeCounters.h"
#include "edge/HeaderNames.h"
#include "edge/MemoryAccount.h"
#include "edge/Placer.h"
#include "edge/RequestMetrics.h"
#include "fleet/Configuration.h"
#include "net/TcpListener.h"
#include "timeline/EventLog.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace sequoia::edge {

class CallerConnection;
class RequestLog;
class TrafficSplit;

//! State shared by all requests of a process.
struct EdgeContext {
    net::Reactor& reactor;
    timeline::EventLog& events;
    const HeaderNames& names;
    Placer& placer;
    client::ConnectionPool& backends;
    EdgeCounters& counters;
    TrafficSplit& split;
    //! Null until the first configuration is known.
    std::shared_ptr<const fleet::Configuration> configuration;
    bool stopping = false;
    std::uint64_t lastJob = 0;
    RequestLog& requestLog;
    RequestMetrics& metrics;
    std::size_t activeAttempts = 0; //!< requests that are at a backend server
    //! Longest deadline seen on each route; a retry sends a shorter one, which shows how long its caller has waited.
    std::map<std::string, Duration> longestDeadline;
    //! Servers, as named in the pool, that have rejected requests without repeating their ids.
    std::set<std::string> serversWithoutIds;
    std::map<std::string, TimePoint> invalidLoadLoggedAt; //!< by server
    CallerLimitLog& limitLog;
    MemoryAccount& memory;
    bool configurationOutdated = false; //!< a newer version has been announced
};

//! HTTP server that forwards the requests of callers to backend servers.
class EdgeServer {
public:
    EdgeServer(net::Reactor& reactor, timeline::EventLog& events, HeaderNames names, Placer& placer);
    ~EdgeServer();

    //! Connections are accepted once a configuration is set, or a short time later without one.
    Result<Success> listen(const net::SocketAddress& address);
    net::SocketAddress address() const;
    void setConfiguration(std::shared_ptr<const fleet::Configuration> configuration);
    //! Sets whether a newer configuration is known to exist. Requests without a route are refused then, since the newer
    //! one may have a route for them.
    void setConfigurationOutdated(bool outdated) { this->context.configurationOutdated = outdated; }
    //! Sets the ceilings for all callers together, with immediate effect.
    void setCeilings(const CallerCeilings& ceilings);
    //! Closes the idle connections to a backend server that was removed.
    void closeIdleServerConnections(const std::string& id, const std::string& address);
    //! Closes backend connections whose idle timeout has passed; called about once per second.
    void closeExpiredBackendConnections() { this->backends.closeExpired(); }

    //! Closes each caller connection after its next response.
    void startDraining();
    //! Accepts the connections that are already established, and no others.
    void stopListening();
    //! Closes caller connections that have had no request for a while; returns the number of connections left.
    std::size_t closeIdleCallerConnections();

    //! Refuses all requests that are not placed on a backend server.
    void refuseUnplacedRequests();
    //! Ends all requests as at their deadline, before the process exits.
    void expireRequests();

    const RequestMetrics& metrics() const { return this->requestMetrics; }
    const EdgeCounters& counters() const { return this->totals; }
    std::uint64_t openedBackendConnections() const { return this->backends.openedConnections(); }
    std::size_t connectionCount() const { return this->connections.size(); }
    const CallerLimitLog& limits() const { return this->limitLog; }
    const MemoryAccount& memoryAccount() const { return this->memory; }

private:
    void accept(int descriptor);
    bool makeRoom();
    void sweep();
    void startAccepting();
    void forEachConnection(const std::function<void(CallerConnection&)>& action);

    net::Reactor& reactor;
    HeaderNames names;
    EdgeCounters totals;
    client::ConnectionPool backends;
    std::unique_ptr<TrafficSplit> split;
    std::unique_ptr<RequestLog> requestLog;
    RequestMetrics requestMetrics;
    CallerLimitLog limitLog;
    MemoryAccount memory;
    EdgeContext context;
    std::unique_ptr<net::TcpListener> listener;
    std::size_t maxConnections = 0; //!< of callers; 0 is no limit
    std::optional<net::Reactor::TimerId> sweepTimer;
    std::optional<net::Reactor::TimerId> acceptTimer; //!< runs while connections wait for the first configuration
    std::map<CallerConnection*, std::unique_ptr<CallerConnection>> connections;
};

}
