#include "ConfigurationWatcher.h"

#include "platform_adapter/Decoders.h"
#include "platform_adapter/ProtocolNames.h"

#include <algorithm>

namespace sequoia::node {

namespace {

// A connection may stall without being closed, and the store's change feed may miss changes before its history is
// dropped. Both are detected at the end of this wait, well before a change must be in force.
constexpr std::int64_t followWaitMs = 1200;
// Used while the coordinator announces the newest version, so that a change that the feed missed is detected anyway.
constexpr std::int64_t longFollowWaitMs = 25'000;
// A version that was announced arrives from the coordinator within this time, or the host reads it from the store; also
// the first interval between such reads, doubled with each failure.
constexpr Duration announcedReadDelay = std::chrono::milliseconds(500);
// Minimum interval between reads when contact with the coordinator is lost.
constexpr Duration readIntervalWithoutCoordinator = std::chrono::milliseconds(1000);
// Exponential backoff, since calls that the store refuses cost as much as others.
constexpr Duration minRetryInterval = std::chrono::milliseconds(200);
constexpr Duration maxRetryInterval = std::chrono::milliseconds(1600);

}

ConfigurationWatcher::ConfigurationWatcher(
    net::Reactor& owner, store::RowStore& rows, timeline::EventLog& log, ChangeCallback callback)
    : reactor(owner)
    , store(rows)
    , events(log)
    , changed(std::move(callback))
{
}

void ConfigurationWatcher::start()
{
    this->readAll();
}

void ConfigurationWatcher::setSource(Source newSource)
{
    bool wasReceiving = this->source == Source::Coordinator;
    this->source = newSource;
    this->coordinatorSeen = this->coordinatorSeen || newSource != Source::Store;
    if (newSource == Source::Coordinator || this->readInProgress)
        return;
    // A long wait in progress would not detect a stalled connection in time.
    bool mustRead
        = newSource == Source::Store && this->reactor.now() - this->lastRead >= readIntervalWithoutCoordinator;
    if (mustRead || (wasReceiving && !this->hasReadTable))
        this->readAll();
    else if (wasReceiving)
        this->follow();
}

void ConfigurationWatcher::onVersionAnnounced(std::uint64_t version)
{
    auto now = this->reactor.now();
    if (this->configuration && version <= this->configuration->version) {
        this->missingSince.reset();
        return;
    }
    if (!this->missingSince)
        this->missingSince = now;
    auto delay = std::min(announcedReadDelay * (1U << std::min(this->failures, 5U)), maxRetryInterval);
    if (!this->readInProgress && now - *this->missingSince >= announcedReadDelay && now - this->lastRead >= delay)
        this->readAll();
}

void ConfigurationWatcher::applyReceived(const std::string& text)
{
    if (text == this->lastReceivedText)
        return;
    this->lastReceivedText = text;
    this->applyText(text, "coordinator");
}

void ConfigurationWatcher::readAll()
{
    this->readInProgress = true;
    this->lastRead = this->reactor.now();
    this->store.read(std::string(platform_adapter::operatorTable), [this](Result<store::RowSet> rowSet) {
        this->readInProgress = false;
        if (!succeeded(rowSet)) {
            this->retry(errorOf(rowSet));
            return;
        }
        this->hasReadTable = true;
        this->applyRows(valueOf(rowSet), true);
    });
}

void ConfigurationWatcher::follow()
{
    if (this->waitInProgress || this->source == Source::Coordinator)
        return;
    this->waitInProgress = true;
    this->store.waitForChanges(std::string(platform_adapter::operatorTable), this->lastStoreVersion,
        this->source == Source::StoreWithCoordinator || !this->coordinatorSeen ? longFollowWaitMs : followWaitMs,
        [this](Result<store::RowSet> rowSet) {
            this->waitInProgress = false;
            if (succeeded(rowSet))
                this->applyRows(valueOf(rowSet), false);
            else
                this->retry(errorOf(rowSet));
        });
}

void ConfigurationWatcher::retry(const Error& error)
{
    if (error.kind == ErrorKind::NotFound)
        this->hasReadTable = false;
    if (!this->storeLost) {
        this->storeLost = true;
        this->events.record(timeline::Severity::Warn, "store_lost",
            { { "watch", "configuration" }, { "reason", error.message }, { "remedy", error.remedy } });
    }
    auto retryDelay = std::min(minRetryInterval * (1U << std::min(this->failures++, 5U)), maxRetryInterval);
    this->reactor.scheduleAfter(retryDelay, [this] {
        if (this->source == Source::Coordinator)
            return;
        if (this->hasReadTable)
            this->follow();
        else if (!this->readInProgress)
            this->readAll();
    });
}

void ConfigurationWatcher::applyEvacuations(const store::RowSet& rowSet, bool complete)
{
    if (!this->evacuationsChanged)
        return;
    std::vector<fleet::EvacuationRow> rows;
    for (const auto& row : rowSet.rows) {
        if (auto dataCentre = platform_adapter::evacuatedDataCentre(row.name.key))
            rows.push_back({ std::move(*dataCentre), row.removed, row.version });
    }
    // The first state is reported even if it is empty, since another host may know of an evacuation that has ended.
    if (complete ? this->evacuations.replaceRows(rows, rowSet.storeVersion) : this->evacuations.changeRows(rows))
        this->evacuationsChanged(this->evacuations.state(), false);
}

void ConfigurationWatcher::applyReceivedEvacuations(const fleet::EvacuationState& received)
{
    if (!this->evacuationsChanged || received.version < this->evacuations.state().version)
        return;
    this->evacuations.update(received);
    this->evacuationsChanged(this->evacuations.state(), true);
}

void ConfigurationWatcher::applyRows(const store::RowSet& rowSet, bool complete)
{
    this->lastStoreResponse = this->reactor.now();
    this->failures = 0;
    if (this->storeLost) {
        this->storeLost = false;
        this->events.record(timeline::Severity::Info, "store_regained", { { "watch", "configuration" } });
    }
    this->lastStoreVersion = std::max(this->lastStoreVersion, rowSet.storeVersion);
    for (const auto& row : rowSet.rows) {
        if (row.name.key != platform_adapter::configurationKey || row.removed)
            continue;
        this->applyText(row.value, "row version " + std::to_string(row.version));
    }
    this->applyEvacuations(rowSet, complete);
    this->follow();
}

void ConfigurationWatcher::applyText(const std::string& text, const std::string& origin)
{
    auto decoded = platform_adapter::decodeConfiguration(text);
    if (!succeeded(decoded)) {
        this->events.record(timeline::Severity::Error, "configuration_refused",
            { { "origin", origin }, { "reason", errorOf(decoded).message }, { "remedy", errorOf(decoded).remedy } });
        return;
    }
    auto& decodedConfiguration = valueOf(decoded);
    if (this->configuration && decodedConfiguration->version <= this->configuration->version)
        return;
    this->events.record(timeline::Severity::Info, "configuration",
        { { "version", std::to_string(decodedConfiguration->version) },
            { "routes", std::to_string(decodedConfiguration->routeCount()) },
            { "before", std::to_string(this->configuration ? this->configuration->version : 0) },
            { "origin", origin } });
    this->configuration = decodedConfiguration;
    this->missingSince.reset();
    this->changed(decodedConfiguration, text);
}

}
