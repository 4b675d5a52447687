#include "edge/CallerLimitLog.h"

namespace sequoia::edge {

namespace {

constexpr Duration linePeriod = std::chrono::seconds(5);

}

CallerLimitLog::CallerLimitLog(timeline::EventLog& log, const Clock& source)
    : events(log)
    , clock(source)
{
}

void CallerLimitLog::logPeriod(std::size_t memoryBytes, std::size_t connections)
{
    auto now = this->clock.now();
    for (const auto& [reason, name] : callerLimitNames) {
        auto& count = this->counts[static_cast<std::size_t>(reason)];
        bool isNew = count.logged == 0;
        if (count.total == count.logged || (!isNew && now - count.lastLine < linePeriod))
            continue;
        this->events.record(timeline::Severity::Warn, "callers_limited",
            { { "reason", std::string(name) }, { "count", std::to_string(count.total - count.logged) },
                { "memory_bytes", std::to_string(memoryBytes) }, { "connections", std::to_string(connections) } });
        count.logged = count.total;
        count.lastLine = now;
    }
}

std::string CallerLimitLog::toText() const
{
    std::string text = "# HELP sequoia_callers_limited_total Requests or connections of callers that were limited.\n"
                       "# TYPE sequoia_callers_limited_total counter\n";
    for (const auto& [reason, name] : callerLimitNames)
        text += "sequoia_callers_limited_total{reason=\"" + std::string(name) + "\"} "
            + std::to_string(this->total(reason)) + "\n";
    return text;
}

}
