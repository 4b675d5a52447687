#include "RequestLog.h"

namespace sequoia::edge {

namespace {

// A line takes about 20 us of processor time; this limit keeps logging below 1 % of a core.
constexpr unsigned maxLinesPerSecond = 200;

}

RequestLog::RequestLog(timeline::EventLog& log, const Clock& source)
    : events(log)
    , clock(source)
{
}

void RequestLog::record(timeline::EventFields fields)
{
    auto now = this->clock.now();
    if (now - this->secondStart >= std::chrono::seconds(1)) {
        this->secondStart = now;
        this->linesInSecond = 0;
        if (this->suppressed > 0)
            this->events.record(timeline::Severity::Warn, "request_lines_suppressed",
                { { "count", std::to_string(this->suppressed) } });
        this->suppressed = 0;
    }
    if (++this->linesInSecond > maxLinesPerSecond) {
        ++this->suppressed;
        return;
    }
    this->events.record(timeline::Severity::Info, "request", fields);
}

}
