#include "ServerWatcher.h"

#include "platform_adapter/Decoders.h"
#include "platform_adapter/ProtocolNames.h"

#include <algorithm>
#include <utility>

namespace sequoia::node {

namespace {

// Several missed reads count as an outage of the store.
constexpr Duration minOutageTime = std::chrono::milliseconds(2600);
// Live servers are listed again within two seconds after the store recovers, by the users' specification.
constexpr Duration graceAfterOutage = std::chrono::milliseconds(2200);
constexpr std::size_t maxLoggedChanges = 20;
// Part of the read interval that passes between a slow answer and the next read.
constexpr int minPauseDivisor = 4;

}

ServerWatcher::ServerWatcher(net::Reactor& owner, store::RowStore& rows, timeline::EventLog& log, Duration interval,
    ChangeCallback callback, ReadCallback readCallback)
    : reactor(owner)
    , store(rows)
    , events(log)
    , readInterval(interval)
    , changed(std::move(callback))
    , read(std::move(readCallback))
    , directory(minOutageTime, graceAfterOutage)
{
}

void ServerWatcher::setPolling(bool enable)
{
    bool wasPolling = std::exchange(this->polling, enable);
    // A read that is still scheduled from an earlier time without a current list would be too late.
    if (enable && !wasPolling && !this->readInProgress)
        this->readAll();
}

void ServerWatcher::applyCoordinatorList(const fleet::ServerMap& listedServers)
{
    auto before = this->directory.servers();
    if (this->directory.replace(listedServers, this->reactor.now()))
        this->publish(before, true);
}

void ServerWatcher::confirmCoordinatorList()
{
    this->directory.confirmUnchanged(this->reactor.now());
}

void ServerWatcher::scheduleRead(TimePoint when)
{
    this->reactor.schedule(when, [this, number = this->readNumber] {
        if (this->polling && number == this->readNumber)
            this->readAll();
    });
}

void ServerWatcher::readAll()
{
    this->readInProgress = true;
    ++this->readNumber;
    auto readStarted = this->reactor.now();
    this->store.read(std::string(platform_adapter::serverTable), [this, readStarted](Result<store::RowSet> rowSet) {
        this->readInProgress = false;
        if (succeeded(rowSet))
            this->applyRows(valueOf(rowSet), readStarted);
        else if (!this->storeLost) {
            this->storeLost = true;
            this->events.record(timeline::Severity::Warn, "store_lost",
                { { "watch", "servers" }, { "reason", errorOf(rowSet).message },
                    { "remedy", errorOf(rowSet).remedy } });
        }
        auto nextRead
            = std::max(readStarted + this->readInterval, this->reactor.now() + this->readInterval / minPauseDivisor);
        this->scheduleRead(nextRead);
    });
}

void ServerWatcher::applyRows(const store::RowSet& rowSet, TimePoint readStarted)
{
    this->lastStoreResponse = this->reactor.now();
    if (this->storeLost) {
        this->storeLost = false;
        this->events.record(timeline::Severity::Info, "store_regained", { { "watch", "servers" } });
    }
    std::vector<fleet::ServerEntry> entries;
    for (const auto& row : rowSet.rows) {
        auto entry = platform_adapter::decodeServerEntry(row.name.key, row.value);
        if (succeeded(entry)) {
            entries.push_back(std::move(valueOf(entry)));
            continue;
        }
        if (this->rejectedEntries.emplace(row.name.key, row.version).second)
            this->events.record(timeline::Severity::Warn, "server_entry_refused",
                { { "server", row.name.key }, { "row_version", std::to_string(row.version) },
                    { "reason", errorOf(entry).message }, { "remedy", errorOf(entry).remedy } });
    }
    auto before = this->directory.servers();
    // A read that began before polling was disabled is older than the coordinator's list.
    if (!this->polling)
        return;
    this->read(readStarted);
    if (this->directory.update(entries, this->reactor.now()))
        this->publish(before, false);
}

void ServerWatcher::publish(const fleet::ServerMap& before, bool fromCoordinator)
{
    this->logChanges(before, fromCoordinator);
    this->changed(this->directory.servers());
}

// Lists from the coordinator are logged as counts, since the coordinator's own log has each change, and the hosts would
// write it some hundred times. So are large changes, such as the first list.
void ServerWatcher::logChanges(const fleet::ServerMap& before, bool fromCoordinator) const
{
    std::vector<std::pair<const char*, const fleet::ServerEntry*>> changes;
    for (const auto& [id, entry] : this->directory.servers()) {
        auto previous = before.find(id);
        if (previous == before.end())
            changes.emplace_back("added", &entry);
        else if (previous->second.instance != entry.instance)
            changes.emplace_back("restarted", &entry);
        else if (previous->second.state != entry.state)
            changes.emplace_back(entry.state == fleet::ServerState::Draining ? "draining" : "ready", &entry);
    }
    for (const auto& [id, entry] : before) {
        if (!this->directory.servers().contains(id))
            changes.emplace_back("gone", &entry);
    }
    if (fromCoordinator || changes.size() > maxLoggedChanges) {
        std::map<std::string, std::size_t> counts;
        for (const auto& [change, entry] : changes)
            ++counts[change];
        std::string summary;
        for (const auto& [change, count] : counts)
            summary += (summary.empty() ? "" : ",") + change + ":" + std::to_string(count);
        this->events.record(timeline::Severity::Info, "servers",
            { { "changes", summary }, { "servers", std::to_string(this->directory.servers().size()) },
                { "source", fromCoordinator ? "coordinator" : "store" } });
        return;
    }
    for (const auto& [change, entry] : changes)
        this->events.record(timeline::Severity::Info, "server",
            { { "server", entry->instance.id }, { "change", change }, { "service", entry->service },
                { "address", entry->address }, { "born_ms", std::to_string(entry->instance.startMillis) } });
}

}
