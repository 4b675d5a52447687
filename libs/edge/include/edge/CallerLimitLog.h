#pragma once

#include "core/Clock.h"
#include "core/EnumTable.h"
#include "timeline/EventLog.h"

#include <array>
#include <cstdint>
#include <string>

namespace sequoia::edge {

//! Why a caller was limited.
enum class CallerLimit {
    MalformedHead, //!< malformed or longer than the limit: 400 or 431, then the connection is closed
    HeadTimeout, //!< 408
    ChunkOverhead, //!< a chunk header or trailers longer than the limit for a head: the connection is closed
    BodyStalled, //!< 408, or the connection is closed if part of the request was sent to a server
    MemoryStalled, //!< ended without progress while memory was short: 503, or the connection is closed
    MemoryRefused, //!< 503 for a new body while memory was short
    ConnectionEnded, //!< closed to make room for a new connection
    ConnectionRefused, //!< a new connection was closed, since there was no room
};

inline constexpr EnumTable<CallerLimit, 8> callerLimitNames { {
    { CallerLimit::MalformedHead, "malformed-head" },
    { CallerLimit::HeadTimeout, "head-timeout" },
    { CallerLimit::ChunkOverhead, "chunk-overhead" },
    { CallerLimit::BodyStalled, "body-stalled" },
    { CallerLimit::MemoryStalled, "memory-stalled" },
    { CallerLimit::MemoryRefused, "memory-refused" },
    { CallerLimit::ConnectionEnded, "connection-ended" },
    { CallerLimit::ConnectionRefused, "connection-refused" },
} };

//! Counts limited callers by reason, and logs one line per period and reason.
class CallerLimitLog {
public:
    CallerLimitLog(timeline::EventLog& events, const Clock& clock);

    void count(CallerLimit reason) { ++this->counts[static_cast<std::size_t>(reason)].total; }
    std::uint64_t total(CallerLimit reason) const { return this->counts[static_cast<std::size_t>(reason)].total; }
    //! Logs what was counted since the last line of each reason; called several times a second.
    void logPeriod(std::size_t memoryBytes, std::size_t connections);
    //! Returns the counters in the Prometheus text format.
    std::string toText() const;

private:
    struct Count {
        std::uint64_t total = 0;
        std::uint64_t logged = 0;
        TimePoint lastLine {};
    };

    timeline::EventLog& events;
    const Clock& clock;
    std::array<Count, callerLimitNames.size()> counts {};
};

}
