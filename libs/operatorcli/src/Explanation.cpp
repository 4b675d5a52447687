#include "operatorcli/Explanation.h"

#include "timeline/EventLog.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <string_view>

namespace sequoia::operatorcli {

namespace {

// What happened this long before a request's last line may have caused it: twice a hold of keys, and an outage that
// the callers' longest deadline covers.
constexpr std::int64_t contextMillis = 10'000;

std::string fieldOf(const wire::Event& event, std::string_view key)
{
    for (const auto& field : event.fields()) {
        if (field.key() == key)
            return field.value();
    }
    return {};
}

std::optional<std::int64_t> numberOf(const wire::Event& event, std::string_view key)
{
    auto text = fieldOf(event, key);
    std::int64_t number = 0;
    auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), number);
    return status == std::errc() && !text.empty() ? std::optional(number) : std::nullopt;
}

//! What the lines of the request name.
struct Subject {
    std::string process;
    std::vector<std::string> servers;
    std::optional<std::int64_t> key;
    std::int64_t lastMillis = 0;
};

Subject subjectOf(const std::vector<wire::Event>& lines)
{
    Subject subject;
    for (const auto& line : lines) {
        subject.process = line.process();
        subject.lastMillis = line.time().wall_ms();
        auto server = fieldOf(line, "server");
        if (!server.empty())
            subject.servers.push_back(server);
        if (auto key = numberOf(line, "key"))
            subject.key = key;
    }
    return subject;
}

bool belongsTo(const wire::Event& event, const Subject& subject)
{
    auto age = subject.lastMillis - event.time().wall_ms();
    if (age < 0 || age > contextMillis)
        return false;
    auto names = [&](std::string_view field) {
        auto value = fieldOf(event, field);
        return std::find(subject.servers.begin(), subject.servers.end(), value) != subject.servers.end();
    };
    auto coversKey = [&] {
        auto first = numberOf(event, "first");
        auto last = numberOf(event, "last");
        return subject.key && first && last && *first <= *subject.key && *subject.key <= *last;
    };
    const auto& kind = event.kind();
    if (kind == "coordinator")
        return true;
    if (kind == "keys_move")
        return coversKey();
    if (kind == "order_failed")
        return coversKey() || names("server");
    if (kind == "server")
        return event.process() == subject.process && names("server");
    constexpr std::array<std::string_view, 9> ofHost { "store_lost", "store_regained", "configuration",
        "configuration_refused", "started", "stop_started", "reloaded", "request_lines_suppressed",
        "log_lines_dropped" };
    return event.process() == subject.process && std::find(ofHost.begin(), ofHost.end(), kind) != ofHost.end();
}

struct Meaning {
    std::string_view reason; //!< beginning of the reason in the log line
    std::string_view text;
};

constexpr auto meanings = std::to_array<Meaning>({
    { "overloaded",
        "It waited for no server, or for one that could not have answered in time. Look at the queue of the "
        "coordinator (sequoia_coordinator_waiting_jobs) and, with a key, at the one server that owns it." },
    { "no-owner",
        "Nobody served the key. The keys_move lines above show why and to whom it went; without one, look for "
        "a coordinator." },
    { "no-server", "No backend server of the service was ready. Look at its entries in the store." },
    { "retry-budget", "It would have had to be sent again, and the repeats allowed for the service were used up." },
    { "quarantined", "Requests with this content crashed backend servers before." },
    { "no configuration", "The host had just started and had not read the configuration yet. Look for store_lost." },
    { "no route", "No route of the configuration in force matches host and path." },
    { "no backend server within", "It found no room at a backend server before its time limit." },
    { "no response within", "A backend server had it and did not answer before the time limit." },
    { "connection", "The connection to the backend server ended before a complete answer." },
    { "the backend server did not run it", "The backend server refused it, and no other attempt was allowed." },
    { "an attempt failed", "A first attempt ended without an answer, and a second one was not possible." },
    { "this host stops", "The host was stopping and could not finish it." },
    { "the caller closed", "The caller left before there was an answer." },
});

std::string conclude(const wire::Event& last)
{
    auto status = fieldOf(last, "status");
    auto outcome = fieldOf(last, "outcome");
    auto reason = fieldOf(last, "reason");
    std::string text;
    if (outcome == "caller-gone")
        text = "The caller left. ";
    else if (outcome == "broken-off")
        text = "The answer was broken off on its way to the caller. ";
    else if (status == "502" || status == "504")
        text = "The caller got " + status + ": the request may have run; only the records of server "
            + fieldOf(last, "server") + " tell. ";
    else if (!status.empty())
        text = "The caller got " + status + ": the request has not run. ";
    for (const auto& meaning : meanings) {
        if (reason.starts_with(meaning.reason))
            return text + std::string(meaning.text);
    }
    return text + "Reason: " + reason + ".";
}

}

Explanation explainRequest(const std::string& requestId, std::vector<wire::Event> events)
{
    Explanation result;
    std::vector<std::vector<wire::Event>> parts(1);
    parts[0] = std::move(events);
    auto ordered = timeline::mergeEvents(std::move(parts));
    std::vector<wire::Event> lines;
    std::copy_if(ordered.begin(), ordered.end(), std::back_inserter(lines),
        [&](const wire::Event& event) { return event.kind() == "request" && fieldOf(event, "request") == requestId; });
    if (lines.empty())
        return result;
    result.found = true;
    auto subject = subjectOf(lines);
    std::copy_if(ordered.begin(), ordered.end(), std::back_inserter(result.story), [&](const wire::Event& event) {
        bool own = event.kind() == "request" && fieldOf(event, "request") == requestId;
        return own || belongsTo(event, subject);
    });
    result.conclusion = conclude(lines.back());
    return result;
}

}
