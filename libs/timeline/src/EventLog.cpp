#include "timeline/EventLog.h"

#include "core/EnumTable.h"
#include "timeline/BoundedWriter.h"

#include <algorithm>
#include <cassert>
#include <log4cxx/appenderskeleton.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <unistd.h>

namespace sequoia::timeline {

namespace {

constexpr EnumTable<Severity, 4> severityNames { {
    { Severity::Debug, "debug" },
    { Severity::Info, "info" },
    { Severity::Warn, "warn" },
    { Severity::Error, "error" },
} };

// Holds a few seconds of lines at the rate at which requests are logged.
constexpr std::size_t logBufferLimit = std::size_t { 256 } * 1024;

//! Writes lines to standard output without blocking on its reader.
class BoundedAppender final : public log4cxx::AppenderSkeleton {
public:
    void close() override { }
    bool requiresLayout() const override { return false; }

protected:
    void append(const log4cxx::spi::LoggingEventPtr& event, log4cxx::helpers::Pool&) override
    {
        this->writer.write(event->getMessage() + "\n");
    }

private:
    BoundedWriter writer { STDOUT_FILENO, logBufferLimit };
};

log4cxx::LevelPtr levelOf(Severity severity)
{
    switch (severity) {
    case Severity::Debug:
        return log4cxx::Level::getDebug();
    case Severity::Info:
        return log4cxx::Level::getInfo();
    case Severity::Warn:
        return log4cxx::Level::getWarn();
    case Severity::Error:
        return log4cxx::Level::getError();
    }
    return log4cxx::Level::getError();
}

const log4cxx::LoggerPtr& logger()
{
    static const log4cxx::LoggerPtr instance = log4cxx::Logger::getLogger("sequoia");
    return instance;
}

bool needsQuotes(std::string_view value)
{
    return value.empty() || std::any_of(value.begin(), value.end(), [](unsigned char c) {
        return c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7f;
    });
}

void appendValue(std::string& line, std::string_view value)
{
    if (!needsQuotes(value)) {
        line += value;
        return;
    }
    line += '"';
    for (char c : value) {
        if (c == '\n')
            line += "\\n";
        else if (static_cast<unsigned char>(c) < ' ' || c == 0x7f)
            line += '?';
        else {
            if (c == '"' || c == '\\')
                line += '\\';
            line += c;
        }
    }
    line += '"';
}

}

EventLog::EventLog(std::string processName, const Clock& clock, std::size_t bufferCapacity)
    : process(std::move(processName))
    , capacity(bufferCapacity)
    , hybrid(clock)
{
    assert(bufferCapacity > 0);
}

bool EventLog::isLogged(Severity severity)
{
    return logger()->isEnabledFor(levelOf(severity));
}

void EventLog::record(Severity severity, std::string_view kind, EventFields fields)
{
    wire::Event event;
    event.set_kind(std::string(kind));
    for (const auto& [key, value] : fields) {
        auto* field = event.add_fields();
        field->set_key(std::string(key));
        field->set_value(value);
    }
    this->append(severity, std::move(event));
}

void EventLog::record(Severity severity, std::string_view kind, const std::vector<wire::EventField>& fields)
{
    wire::Event event;
    event.set_kind(std::string(kind));
    for (const auto& field : fields)
        *event.add_fields() = field;
    this->append(severity, std::move(event));
}

void EventLog::append(Severity severity, wire::Event event)
{
    event.set_process(this->process);
    *event.mutable_time() = this->hybrid.tick();
    LOG4CXX_LOG(logger(), levelOf(severity), formatEvent(nameOf(severityNames, severity), event));
    // Debug events are not buffered: logged for each request, they would evict the events that record decisions.
    if (severity == Severity::Debug)
        return;
    std::lock_guard lock(this->mutex);
    event.set_number(++this->lastNumber);
    this->buffer.push_back(std::move(event));
    if (this->buffer.size() > this->capacity)
        this->buffer.pop_front();
}

std::pair<std::vector<wire::Event>, std::uint64_t> EventLog::eventsAfter(std::uint64_t number) const
{
    std::lock_guard lock(this->mutex);
    std::vector<wire::Event> events;
    for (const auto& event : this->buffer) {
        if (event.number() > number)
            events.push_back(event);
    }
    std::uint64_t wanted = this->lastNumber > number ? this->lastNumber - number : 0;
    return { std::move(events), wanted > events.size() ? wanted - events.size() : 0 };
}

void configureLogging(std::string_view level, LogTarget target)
{
    auto root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    if (target == LogTarget::StandardOutput)
        root->addAppender(std::make_shared<BoundedAppender>());
    else {
        auto layout = std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%m%n"));
        root->addAppender(std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemErr()));
    }
    setLogLevel(level);
}

void setLogLevel(std::string_view level)
{
    auto severity = valueNamed(severityNames, level).value_or(Severity::Info);
    log4cxx::Logger::getRootLogger()->setLevel(levelOf(severity));
}

std::string formatEvent(std::string_view severity, const wire::Event& event)
{
    std::string line
        = "time_ms=" + std::to_string(event.time().wall_ms()) + "." + std::to_string(event.time().counter());
    line += " severity=";
    line += severity;
    line += " process=";
    appendValue(line, event.process());
    line += " event=";
    appendValue(line, event.kind());
    for (const auto& field : event.fields()) {
        line += ' ';
        line += field.key();
        line += '=';
        appendValue(line, field.value());
    }
    return line;
}

namespace {

//! Removes a leading `key=value` from the text and returns it; returns nullopt if the text does not start with one.
std::optional<std::pair<std::string, std::string>> takeField(std::string_view& text)
{
    auto equals = text.find('=');
    if (equals == std::string_view::npos || equals == 0 || text.substr(0, equals).find(' ') != std::string_view::npos)
        return std::nullopt;
    std::pair<std::string, std::string> field { text.substr(0, equals), "" };
    text.remove_prefix(equals + 1);
    if (text.starts_with('"')) {
        text.remove_prefix(1);
        while (!text.empty() && text.front() != '"') {
            bool escaped = text.front() == '\\' && text.size() > 1;
            if (escaped)
                text.remove_prefix(1);
            field.second += escaped && text.front() == 'n' ? '\n' : text.front();
            text.remove_prefix(1);
        }
        if (text.empty())
            return std::nullopt;
        text.remove_prefix(1);
    } else {
        auto end = std::min(text.find(' '), text.size());
        field.second = text.substr(0, end);
        text.remove_prefix(end);
    }
    while (text.starts_with(' '))
        text.remove_prefix(1);
    return field;
}

}

std::optional<wire::Event> parseEvent(std::string_view line)
{
    auto start = line.find("time_ms=");
    if (start == std::string_view::npos)
        return std::nullopt;
    line.remove_prefix(start);
    auto time = takeField(line);
    auto severity = takeField(line);
    auto process = takeField(line);
    auto kind = takeField(line);
    if (!time || !severity || !process || process->first != "process" || !kind || kind->first != "event")
        return std::nullopt;
    wire::Event event;
    auto* stamp = event.mutable_time();
    auto point = time->second.find('.');
    stamp->set_wall_ms(std::strtoll(time->second.c_str(), nullptr, 10));
    if (point != std::string::npos)
        stamp->set_counter(static_cast<std::uint32_t>(std::strtoul(time->second.c_str() + point + 1, nullptr, 10)));
    event.set_process(process->second);
    event.set_kind(kind->second);
    while (auto field = takeField(line)) {
        auto* added = event.add_fields();
        added->set_key(field->first);
        added->set_value(field->second);
    }
    return event;
}

std::vector<wire::Event> mergeEvents(std::vector<std::vector<wire::Event>> perProcess)
{
    std::vector<wire::Event> merged;
    for (auto& events : perProcess)
        std::move(events.begin(), events.end(), std::back_inserter(merged));
    std::stable_sort(merged.begin(), merged.end(),
        [](const wire::Event& left, const wire::Event& right) { return isBefore(left.time(), right.time()); });
    return merged;
}

}
