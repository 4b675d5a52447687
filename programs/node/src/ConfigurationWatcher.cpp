#include "ConfigurationWatcher.h"

#include "platform_adapter/Decoders.h"
#include "platform_adapter/Names.h"

#include <algorithm>

namespace sequoia::node {

namespace {

// A connection may go silent without an end, and a feed may miss changes before its history is dropped. Both are
// noticed when the wait is over, well before a change has to be in force.
constexpr std::int64_t followMillis = 1200;
// While the coordinator tells the newest version, a feed that misses a change does no harm.
constexpr std::int64_t longFollowMillis = 25'000;
// Reads on a hint, and while the coordinator is not heard.
constexpr Duration readInterval = std::chrono::milliseconds(400);
constexpr Duration readAloneInterval = std::chrono::milliseconds(1000);
// Doubles with each failure in a row: calls that the store refuses cost as much as others.
constexpr Duration firstRetryInterval = std::chrono::milliseconds(200);
constexpr Duration longestRetryInterval = std::chrono::milliseconds(1600);

}

ConfigurationWatcher::ConfigurationWatcher(
    net::Reactor& owner, store::RowStore& rows, timeline::EventLog& log, Changed callback)
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

void ConfigurationWatcher::setCoordinatorHeard(bool heard)
{
    this->coordinatorHeard = heard;
    // A long wait may be under way, which would not notice a connection that has gone silent.
    if (!heard && !this->reading && this->reactor.now() - this->lastRead >= readAloneInterval)
        this->readAll();
}

void ConfigurationWatcher::hint(std::uint64_t version)
{
    bool known = this->configuration && version <= this->configuration->version;
    if (!known && !this->reading && this->reactor.now() - this->lastRead >= readInterval)
        this->readAll();
}

void ConfigurationWatcher::readAll()
{
    this->reading = true;
    this->lastRead = this->reactor.now();
    this->store.read(std::string(platform_adapter::operatorTable), [this](Result<store::RowPage> page) {
        this->reading = false;
        if (!succeeded(page)) {
            this->retry(errorOf(page));
            return;
        }
        this->complete = true;
        this->take(valueOf(page));
    });
}

void ConfigurationWatcher::follow()
{
    if (this->following)
        return;
    this->following = true;
    this->store.follow(std::string(platform_adapter::operatorTable), this->position,
        this->coordinatorHeard ? longFollowMillis : followMillis, [this](Result<store::RowPage> page) {
            this->following = false;
            if (succeeded(page))
                this->take(valueOf(page));
            else
                this->retry(errorOf(page));
        });
}

void ConfigurationWatcher::retry(const Error& error)
{
    if (error.kind == ErrorKind::NotFound)
        this->complete = false;
    if (!this->storeLost) {
        this->storeLost = true;
        this->events.record(timeline::Severity::Warn, "store_lost",
            { { "watch", "configuration" }, { "reason", error.message }, { "remedy", error.remedy } });
    }
    auto pause = std::min(firstRetryInterval * (1U << std::min(this->failures++, 5U)), longestRetryInterval);
    this->reactor.scheduleAfter(pause, [this] {
        if (this->complete)
            this->follow();
        else if (!this->reading)
            this->readAll();
    });
}

void ConfigurationWatcher::take(const store::RowPage& page)
{
    this->lastAnswer = this->reactor.now();
    this->failures = 0;
    if (this->storeLost) {
        this->storeLost = false;
        this->events.record(timeline::Severity::Info, "store_regained", { { "watch", "configuration" } });
    }
    this->position = std::max(this->position, page.newest);
    for (const auto& row : page.rows) {
        if (row.name.key != platform_adapter::configurationKey || row.removed)
            continue;
        auto decoded = platform_adapter::decodeConfiguration(row.value);
        if (!succeeded(decoded)) {
            this->events.record(timeline::Severity::Error, "configuration_refused",
                { { "row_version", std::to_string(row.version) }, { "reason", errorOf(decoded).message },
                    { "remedy", errorOf(decoded).remedy } });
            continue;
        }
        auto& newer = valueOf(decoded);
        if (this->configuration && newer->version <= this->configuration->version)
            continue;
        this->events.record(timeline::Severity::Info, "configuration",
            { { "version", std::to_string(newer->version) }, { "routes", std::to_string(newer->routeCount()) },
                { "before", std::to_string(this->configuration ? this->configuration->version : 0) } });
        this->configuration = newer;
        this->changed(newer);
    }
    this->follow();
}

}
