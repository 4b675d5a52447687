#include "edge/EdgeServer.h"

#include "CallerConnection.h"
#include "RequestLog.h"
#include "edge/TrafficSplit.h"

#include <algorithm>
#include <unistd.h>
#include <vector>

namespace sequoia::edge {

namespace {

// For connections to backend servers that announce no keep-alive time.
constexpr Duration backendIdleTimeout = std::chrono::seconds(8);
// A process that has just started reads its configuration within a few hundred milliseconds, which is less than a
// caller loses by a refusal. Callers give a connection up after a second.
constexpr Duration maxConfigurationWait = std::chrono::milliseconds(700);
// Between two looks at the progress and the memory of all connections.
constexpr Duration sweepInterval = std::chrono::milliseconds(200);
// When there is no room for a connection, this part of all is closed at once, so that the search is rare.
constexpr std::size_t closedPart = 16;

}

EdgeServer::EdgeServer(net::Reactor& owner, timeline::EventLog& events, HeaderNames headerNames, Placer& placer)
    : reactor(owner)
    , names(std::move(headerNames))
    , backends(owner, backendIdleTimeout)
    , split(std::make_unique<TrafficSplit>())
    , requestLog(std::make_unique<RequestLog>(events, owner.timeSource()))
    , limitLog(events, owner.timeSource())
    , context { owner, events, this->names, placer, this->backends, this->totals, *this->split, nullptr, false, 0,
        *this->requestLog, this->requestMetrics, 0, {}, {}, {}, this->limitLog, this->memory }
{
    this->sweep();
}

EdgeServer::~EdgeServer()
{
    if (this->sweepTimer)
        this->reactor.cancel(*this->sweepTimer);
    if (this->acceptTimer)
        this->reactor.cancel(*this->acceptTimer);
}

Result<Success> EdgeServer::listen(const net::SocketAddress& address)
{
    auto listening
        = net::TcpListener::listen(this->reactor, address, [this](int descriptor) { this->accept(descriptor); });
    if (!succeeded(listening))
        return errorOf(listening);
    this->listener = std::move(valueOf(listening));
    if (!this->context.configuration) {
        this->listener->setAccepting(false);
        this->acceptTimer = this->reactor.scheduleAfter(maxConfigurationWait, [this] {
            this->acceptTimer.reset();
            this->startAccepting();
        });
    }
    return Success {};
}

void EdgeServer::startAccepting()
{
    if (this->acceptTimer)
        this->reactor.cancel(*this->acceptTimer);
    this->acceptTimer.reset();
    if (this->listener)
        this->listener->setAccepting(true);
}

net::SocketAddress EdgeServer::address() const
{
    return this->listener->address();
}

void EdgeServer::setConfiguration(std::shared_ptr<const fleet::Configuration> configuration)
{
    this->context.configuration = std::move(configuration);
    this->startAccepting();
    this->split->clear();
}

void EdgeServer::closeIdleServerConnections(const std::string& id, const std::string& address)
{
    this->backends.closeIdle(id + "@" + address);
    this->context.serversWithoutIds.erase(id + "@" + address);
}

void EdgeServer::accept(int descriptor)
{
    ++this->totals.connections;
    if (!this->makeRoom()) {
        this->limitLog.count(CallerLimit::ConnectionRefused);
        ::close(descriptor);
        return;
    }
    auto connection
        = std::make_unique<CallerConnection>(this->context, descriptor, [this](CallerConnection& endedConnection) {
              auto found = this->connections.find(&endedConnection);
              if (found == this->connections.end())
                  return;
              // Destruction is deferred, since the connection may be in the middle of a callback.
              std::shared_ptr<CallerConnection> removed = std::move(found->second);
              this->connections.erase(found);
              this->reactor.defer([removed] {});
          });
    auto* key = connection.get();
    this->connections[key] = std::move(connection);
}

void EdgeServer::setCeilings(const CallerCeilings& ceilings)
{
    this->memory.setCeiling(ceilings.memoryBytes);
    this->maxConnections = ceilings.connections;
    this->backends.setMaxConnections(ceilings.connections);
}

// The host also needs descriptors for the store, backend servers, other hosts and files.
bool EdgeServer::makeRoom()
{
    if (this->maxConnections == 0 || this->connections.size() < this->maxConnections)
        return true;
    std::vector<std::pair<CallerConnection::Closable, CallerConnection*>> closable;
    for (const auto& [connection, owned] : this->connections) {
        if (auto found = connection->closable())
            closable.emplace_back(*found, connection);
    }
    auto count = std::min(closable.size(), this->maxConnections / closedPart + 1);
    std::partial_sort(closable.begin(), closable.begin() + static_cast<std::ptrdiff_t>(count), closable.end(),
        [](const auto& left, const auto& right) { return left.first < right.first; });
    for (std::size_t i = 0; i < count; ++i) {
        this->limitLog.count(CallerLimit::ConnectionEnded);
        closable[i].second->close();
    }
    return this->connections.size() < this->maxConnections;
}

void EdgeServer::sweep()
{
    auto room = this->memory.room();
    this->forEachConnection([&room](CallerConnection& connection) { connection.checkProgress(room); });
    auto stalled = this->memory.stalledOwners(this->reactor.now());
    std::sort(stalled.begin(), stalled.end());
    if (!stalled.empty())
        this->forEachConnection([&stalled](CallerConnection& connection) {
            if (std::binary_search(stalled.begin(), stalled.end(), connection.owner()))
                connection.endForMemory();
        });
    this->limitLog.logPeriod(this->memory.total(), this->connections.size());
    this->sweepTimer = this->reactor.scheduleAfter(sweepInterval, [this] { this->sweep(); });
}

void EdgeServer::stopListening()
{
    if (!this->listener)
        return;
    this->listener->acceptPending();
    this->listener.reset();
}

void EdgeServer::startDraining()
{
    this->context.stopping = true;
}

// An action may remove the connection that it is given.
void EdgeServer::forEachConnection(const std::function<void(CallerConnection&)>& action)
{
    for (auto entry = this->connections.begin(); entry != this->connections.end();) {
        auto next = std::next(entry);
        action(*entry->first);
        entry = next;
    }
}

void EdgeServer::refuseUnplacedRequests()
{
    this->forEachConnection([](CallerConnection& connection) { connection.refuseUnlessPlaced(); });
}

void EdgeServer::expireRequests()
{
    this->forEachConnection([](CallerConnection& connection) { connection.expire(); });
}

std::size_t EdgeServer::closeIdleCallerConnections()
{
    this->forEachConnection([](CallerConnection& connection) { connection.closeIfIdle(); });
    return this->connections.size();
}

}
