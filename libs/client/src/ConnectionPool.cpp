#include "client/ConnectionPool.h"

#include <algorithm>

namespace sequoia::client {

namespace {

// Fraction of the announced keep-alive time that is used, since the peer closes connections by its own clock.
constexpr double keepAliveFraction = 0.7;

}

ConnectionPool::ConnectionPool(net::Reactor& owner, Duration limit)
    : reactor(owner)
    , idleTimeout(limit)
{
}

ConnectionPool::~ConnectionPool() = default;

Duration ConnectionPool::idleTimeoutOf(const ClientConnection& connection) const
{
    auto announced = connection.keepAliveTimeout();
    if (announced == Duration::zero())
        return this->idleTimeout;
    auto used = Duration(static_cast<std::int64_t>(static_cast<double>(announced.count()) * keepAliveFraction));
    return std::min(used, this->idleTimeout);
}

ClientConnection& ConnectionPool::acquire(
    const std::string& peer, const net::SocketAddress& address, Duration maxIdle, const std::string& tag)
{
    auto now = this->reactor.now();
    auto& list = this->idle[peer];
    for (auto index = list.size(); index > 0; --index) {
        auto* connection = list[index - 1];
        auto age = now - connection->idleSince();
        if (age > maxIdle)
            break;
        if (!tag.empty() && connection->lastTag() == tag)
            continue;
        list.erase(list.begin() + static_cast<std::ptrdiff_t>(index) - 1);
        if (age < this->idleTimeoutOf(*connection) && connection->isUsable()) {
            this->connections.at(connection).idle = false;
            return *connection;
        }
        this->remove(*connection);
    }
    // Callers that repeat an id never get the connection that served it last, so that idle ones would pile up.
    while (this->maxConnections > 0 && this->connections.size() >= this->maxConnections && this->closeLongestIdle()) { }
    ++this->openedCount;
    ConnectionOwner& self = *this;
    auto created = std::make_unique<ClientConnection>(this->reactor, address, self);
    auto& connection = *created;
    this->connections[&connection] = { peer, std::move(created), false };
    return connection;
}

void ConnectionPool::closeIdle(const std::string& peer)
{
    auto found = this->idle.find(peer);
    if (found == this->idle.end())
        return;
    for (auto* connection : found->second)
        this->remove(*connection);
    this->idle.erase(found);
}

bool ConnectionPool::closeLongestIdle()
{
    auto oldest = this->idle.end();
    for (auto entry = this->idle.begin(); entry != this->idle.end(); ++entry) {
        if (entry->second.empty())
            continue;
        if (oldest == this->idle.end() || entry->second.front()->idleSince() < oldest->second.front()->idleSince())
            oldest = entry;
    }
    if (oldest == this->idle.end())
        return false;
    auto* connection = oldest->second.front();
    oldest->second.erase(oldest->second.begin());
    this->remove(*connection);
    return true;
}

void ConnectionPool::closeExpired()
{
    auto now = this->reactor.now();
    for (auto& [peer, list] : this->idle) {
        auto expired = std::stable_partition(list.begin(), list.end(), [&](const ClientConnection* connection) {
            return now - connection->idleSince() < this->idleTimeoutOf(*connection);
        });
        for (auto entry = expired; entry != list.end(); ++entry)
            this->remove(**entry);
        list.erase(expired, list.end());
    }
    std::erase_if(this->idle, [](const auto& entry) { return entry.second.empty(); });
}

void ConnectionPool::onRequestEnd(ClientConnection& connection, bool reusable)
{
    auto found = this->connections.find(&connection);
    if (found == this->connections.end())
        return;
    if (!reusable) {
        this->remove(connection);
        return;
    }
    found->second.idle = true;
    this->idle[found->second.peer].push_back(&connection);
}

void ConnectionPool::onIdleClosed(ClientConnection& connection)
{
    auto found = this->connections.find(&connection);
    if (found == this->connections.end())
        return;
    std::erase(this->idle[found->second.peer], &connection);
    this->remove(connection);
}

void ConnectionPool::remove(ClientConnection& connection)
{
    auto found = this->connections.find(&connection);
    if (found == this->connections.end())
        return;
    // Destruction is deferred, since the connection may be in the middle of a callback.
    std::shared_ptr<ClientConnection> ended = std::move(found->second.connection);
    this->connections.erase(found);
    this->reactor.defer([ended] {});
}

}
