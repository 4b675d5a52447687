#pragma once

#include "timeline/HybridClock.h"

#include <deque>
#include <event.pb.h>
#include <initializer_list>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sequoia::timeline {

enum class Severity {
    Debug,
    Info,
    Warn,
    Error,
};

using EventFields = std::initializer_list<std::pair<std::string_view, std::string>>;

//! Event log of one process. Writes each event as a log line and keeps the latest ones, except debug events, in a
//! bounded buffer for the time line. Thread-safe.
class EventLog {
public:
    //! `process` identifies program and host, for example controller@host-3.
    EventLog(std::string process, const Clock& clock, std::size_t capacity);

    //! Whether events of the severity reach the log, so that others need not be put together.
    static bool isLogged(Severity severity);
    void record(Severity severity, std::string_view kind, EventFields fields);
    void record(Severity severity, std::string_view kind, const std::vector<wire::EventField>& fields);

    //! Returns the buffered events with numbers above `number`, and how many such events were evicted from the buffer.
    std::pair<std::vector<wire::Event>, std::uint64_t> eventsAfter(std::uint64_t number) const;

    HybridClock& hybridClock() { return this->hybrid; }

private:
    void append(Severity severity, wire::Event event);

    std::string process;
    std::size_t capacity;
    HybridClock hybrid;
    mutable std::mutex mutex;
    std::deque<wire::Event> buffer;
    std::uint64_t lastNumber = 0;
};

//! Destination of log lines.
enum class LogTarget {
    StandardError, //!< Blocks while the reader is slow.
    StandardOutput, //!< Never blocks; lines are dropped and counted while the reader is slow.
};

//! Configures log4cxx; `level` is debug, info, warn or error.
void configureLogging(std::string_view level, LogTarget target = LogTarget::StandardError);

void setLogLevel(std::string_view level);

//! Formats an event as a line of key=value pairs. Values with spaces, quotes or control characters are quoted.
std::string formatEvent(std::string_view severity, const wire::Event& event);

//! Parses a line written by formatEvent(), which may be preceded by other text. Returns nullopt for other lines.
std::optional<wire::Event> parseEvent(std::string_view line);

//! Merges the events of several processes in order of their hybrid time.
std::vector<wire::Event> mergeEvents(std::vector<std::vector<wire::Event>> perProcess);

}
