#pragma once

#include "timeline/EventLog.h"

namespace sequoia::edge {

//! Rate-limited log of requests. Suppressed lines are counted, and the count is logged.
class RequestLog {
public:
    RequestLog(timeline::EventLog& events, const Clock& clock);

    void record(timeline::EventFields fields);

private:
    timeline::EventLog& events;
    const Clock& clock;
    TimePoint secondStart {};
    unsigned linesInSecond = 0;
    std::uint64_t suppressed = 0;
};

}
