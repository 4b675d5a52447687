#include "ServerLoadDecoder.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>

namespace sequoia::edge {

namespace {

// Longer values are cut off in the log.
constexpr std::size_t maxLoggedValue = 40;
constexpr Duration logPeriod = std::chrono::seconds(10);
// Servers whose last log line is remembered.
constexpr std::size_t maxLoggedServers = 1000;

// Without signs, which are invalid. Spaces around the figures are allowed.
std::optional<std::uint32_t> parseFigure(std::string_view text, std::uint32_t limit)
{
    auto first = text.find_first_not_of(' ');
    if (first == std::string_view::npos)
        return std::nullopt;
    text = text.substr(first, text.find_last_not_of(' ') - first + 1);
    std::uint32_t value = 0;
    auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (status != std::errc() || end != text.data() + text.size() || value > limit)
        return std::nullopt;
    return value;
}

std::optional<balance::ServerReport> parseReport(std::string_view text)
{
    constexpr std::size_t minFigures = 3;
    constexpr std::array<std::uint32_t, 4> limits { balance::maxReportedRequests, balance::maxReportedRequests,
        balance::maxReportedRequests, balance::maxPacePercent };
    std::array<std::uint32_t, 4> figures {};
    std::size_t count = 0;
    for (bool more = true; more; ++count) {
        auto comma = text.find(',');
        auto figure = count < limits.size() ? parseFigure(text.substr(0, comma), limits[count]) : std::nullopt;
        if (!figure)
            return std::nullopt;
        figures[count] = *figure;
        more = comma != std::string_view::npos;
        text.remove_prefix(more ? comma + 1 : text.size());
    }
    bool hasPace = count == figures.size();
    if (count < minFigures || figures[2] == 0 || (hasPace && figures[3] == 0))
        return std::nullopt;
    return balance::ServerReport { figures[0], figures[1], figures[2], figures[3] };
}

}

DecodedLoad decodeServerLoad(const http::MessageHead& response, const HeaderNames& names)
{
    DecodedLoad result;
    const auto* text = names.load.empty() ? nullptr : response.headers.find(names.load);
    if (!text)
        return result;
    if (response.headers.count(names.load) == 1)
        result.report = parseReport(*text);
    if (result.report && result.report->running <= result.report->slots)
        return result;
    if (result.report)
        result.report->running = result.report->slots;
    result.invalidValue = text->empty() ? "(empty)" : text->substr(0, maxLoggedValue);
    return result;
}

void recordInvalidLoad(EdgeContext& context, const std::string& server, const std::string& value)
{
    ++context.counters.invalidLoadReports;
    auto now = context.reactor.now();
    auto& logged = context.invalidLoadLoggedAt;
    auto found = logged.find(server);
    if (found != logged.end() && now - found->second < logPeriod)
        return;
    if (logged.size() >= maxLoggedServers)
        std::erase_if(logged, [now](const auto& entry) { return now - entry.second >= logPeriod; });
    if (logged.size() >= maxLoggedServers)
        return;
    logged[server] = now;
    context.events.record(timeline::Severity::Warn, "load_report_invalid",
        { { "server", server }, { "value", value }, { "reason", "not running,waiting,slots[,pace] in range" },
            { "remedy", "correct the server; it is used as without a report" } });
}

}
