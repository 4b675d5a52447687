#pragma once

#include "client/ClientConnection.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sequoia::client {

//! As `maxIdle` of ConnectionPool::acquire(): always a new connection.
constexpr Duration noReuse(-1);

//! Pool of reusable connections to several peers.
class ConnectionPool final : private ConnectionOwner {
public:
    ConnectionPool(net::Reactor& reactor, Duration idleTimeout);
    ~ConnectionPool() override;

    ConnectionPool(const ConnectionPool&) = delete;
    ConnectionPool& operator=(const ConnectionPool&) = delete;

    //! Returns a connection that has been idle for at most `maxIdle`, or a new one. `peer` distinguishes peers that
    //! use the same address one after the other. Skips connections whose last request had the given tag.
    ClientConnection& acquire(
        const std::string& peer, const net::SocketAddress& address, Duration maxIdle, const std::string& tag = {});
    //! Bounds the number of connections: beyond it, the connection that has been idle longest is closed for a new one.
    //! Connections in use are not bounded. 0 is no bound.
    void setMaxConnections(std::size_t count) { this->maxConnections = count; }
    //! Closes the idle connections to one peer.
    void closeIdle(const std::string& peer);
    //! Closes connections whose idle timeout has passed; called about once per second.
    void closeExpired();

    std::uint64_t openedConnections() const { return this->openedCount; }
    std::size_t size() const { return this->connections.size(); }

private:
    struct Entry {
        std::string peer;
        std::unique_ptr<ClientConnection> connection;
        bool idle = false;
    };

    void onRequestEnd(ClientConnection& connection, bool reusable) override;
    void onIdleClosed(ClientConnection& connection) override;
    void remove(ClientConnection& connection);
    //! Returns whether there was an idle connection.
    bool closeLongestIdle();
    Duration idleTimeoutOf(const ClientConnection& connection) const;

    net::Reactor& reactor;
    Duration idleTimeout;
    std::map<const ClientConnection*, Entry> connections;
    //! The most recently used connection is last and reused first, so that the others reach their idle timeout.
    std::map<std::string, std::vector<ClientConnection*>> idle;
    std::uint64_t openedCount = 0;
    std::size_t maxConnections = 0;
};

}
