#include "ConfigurationWatcher.h"

#include "platform_adapter/Decoders.h"
#include "platform_adapter/Names.h"

namespace sequoia::node {

namespace {

// A connection may go silent without an end, and a feed may miss changes before its history is dropped. Both are
// noticed when the wait is over, well before a change has to be in force.
constexpr std::int64_t followMillis = 1200;
constexpr Duration retryInterval = std::chrono::milliseconds(200);

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

void ConfigurationWatcher::readAll()
{
    this->store.read(std::string(platform_adapter::operatorTable), [this](Result<store::RowPage> page) {
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
    this->store.follow(std::string(platform_adapter::operatorTable), this->position, followMillis,
        [this](Result<store::RowPage> page) {
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
    this->reactor.scheduleAfter(retryInterval, [this] { this->complete ? this->follow() : this->readAll(); });
}

void ConfigurationWatcher::take(const store::RowPage& page)
{
    this->lastAnswer = this->reactor.now();
    if (this->storeLost) {
        this->storeLost = false;
        this->events.record(timeline::Severity::Info, "store_regained", { { "watch", "configuration" } });
    }
    this->position = page.newest;
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
