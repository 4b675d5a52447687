#include "ServerWatcher.h"

#include "platform_adapter/Decoders.h"
#include "platform_adapter/Names.h"

#include <algorithm>

namespace sequoia::node {

namespace {

// A server that is leaving must get no new requests two seconds after it said so.
constexpr Duration readInterval = std::chrono::milliseconds(800);
// Missing several reads counts as an outage of the store.
constexpr Duration outageGap = std::chrono::milliseconds(2600);
// Entries of servers that live are back within two seconds of the store's return (the users' letter).
constexpr Duration graceAfterOutage = std::chrono::milliseconds(2200);

}

ServerWatcher::ServerWatcher(net::Reactor& owner, store::RowStore& rows, timeline::EventLog& log, Changed callback)
    : reactor(owner)
    , store(rows)
    , events(log)
    , changed(std::move(callback))
    , directory(outageGap, graceAfterOutage)
{
}

void ServerWatcher::start()
{
    this->readAll();
}

void ServerWatcher::setReading(bool wanted)
{
    this->enabled = wanted;
    if (wanted && !this->scheduled)
        this->readAll();
}

void ServerWatcher::adopt(const fleet::ServerMap& listed)
{
    auto before = this->directory.servers();
    if (this->directory.adopt(listed, this->reactor.now()))
        this->publish(before);
}

void ServerWatcher::confirm()
{
    this->directory.confirm(this->reactor.now());
}

void ServerWatcher::scheduleRead(TimePoint when)
{
    this->reactor.schedule(when, [this] {
        this->scheduled = false;
        if (this->enabled)
            this->readAll();
    });
}

void ServerWatcher::readAll()
{
    this->scheduled = true;
    auto begun = this->reactor.now();
    this->store.read(std::string(platform_adapter::serverTable), [this, begun](Result<store::RowPage> page) {
        if (succeeded(page))
            this->take(valueOf(page));
        else if (!this->storeLost) {
            this->storeLost = true;
            this->events.record(timeline::Severity::Warn, "store_lost",
                { { "watch", "servers" }, { "reason", errorOf(page).message }, { "remedy", errorOf(page).remedy } });
        }
        auto next = std::max(begun + readInterval, this->reactor.now() + readInterval / 4);
        this->scheduleRead(next);
    });
}

void ServerWatcher::take(const store::RowPage& page)
{
    this->lastAnswer = this->reactor.now();
    if (this->storeLost) {
        this->storeLost = false;
        this->events.record(timeline::Severity::Info, "store_regained", { { "watch", "servers" } });
    }
    std::vector<fleet::ServerEntry> entries;
    for (const auto& row : page.rows) {
        auto entry = platform_adapter::decodeServer(row.name.key, row.value);
        if (succeeded(entry)) {
            entries.push_back(std::move(valueOf(entry)));
            continue;
        }
        if (this->refused.emplace(row.name.key, row.version).second)
            this->events.record(timeline::Severity::Warn, "server_entry_refused",
                { { "server", row.name.key }, { "row_version", std::to_string(row.version) },
                    { "reason", errorOf(entry).message }, { "remedy", errorOf(entry).remedy } });
    }
    auto before = this->directory.servers();
    // A read that was asked for before the coordinator was heard is older than what it tells.
    if (this->enabled && this->directory.update(entries, this->reactor.now()))
        this->publish(before);
}

void ServerWatcher::publish(const fleet::ServerMap& before)
{
    this->logChanges(before);
    this->changed(this->directory.servers());
}

void ServerWatcher::logChanges(const fleet::ServerMap& before) const
{
    auto record = [this](const char* change, const fleet::ServerEntry& entry) {
        this->events.record(timeline::Severity::Info, "server",
            { { "server", entry.life.id }, { "change", change }, { "service", entry.service },
                { "address", entry.address }, { "born_ms", std::to_string(entry.life.bornMillis) } });
    };
    for (const auto& [id, entry] : this->directory.servers()) {
        auto old = before.find(id);
        if (old == before.end())
            record("added", entry);
        else if (old->second.life != entry.life)
            record("restarted", entry);
        else if (old->second.state != entry.state)
            record(entry.state == fleet::ServerState::Draining ? "draining" : "ready", entry);
    }
    for (const auto& [id, entry] : before) {
        if (!this->directory.servers().contains(id))
            record("gone", entry);
    }
}

}
