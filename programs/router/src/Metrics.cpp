#include "Metrics.h"

#include <array>
#include <cmath>
#include <sstream>

namespace sequoia::router {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 4> quantiles { 0.5, 0.9, 0.99, 0.999 };

std::string_view codeName(const std::optional<dispatch::RefusalCode>& code)
{
    return code ? dispatch::traitsOf(*code).name : std::string_view("none");
}

//! Service names come from the settings; the text format wants backslash and quote escaped.
std::string escaped(const std::string& value)
{
    std::string text;
    for (char c : value) {
        if (c == '\\' || c == '"')
            text += '\\';
        text += c;
    }
    return text;
}

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

}

Metrics::Metrics()
    : latencySeconds(acc::extended_p_square_probabilities = quantiles)
{
}

void Metrics::record(const httpio::GatewayObserver::Report& report)
{
    std::lock_guard lock(this->mutex);
    ++this->requests[{ report.service, report.outcome, report.refusal }];
    this->attempts += report.attempts;
    this->furtherAttempts += report.attempts > 1 ? report.attempts - 1 : 0;
    if (report.outcome == dispatch::Outcome::Answered)
        this->latencySeconds(secondsOf(report.duration));
}

std::string Metrics::toText() const
{
    std::lock_guard lock(this->mutex);
    std::ostringstream text;
    text << "# HELP sequoia_requests_total Requests that have ended, by outcome and refusal code.\n"
         << "# TYPE sequoia_requests_total counter\n";
    for (const auto& [kind, count] : this->requests) {
        text << "sequoia_requests_total{service=\"" << escaped(kind.service) << "\",outcome=\""
             << nameOf(dispatch::outcomeNames, kind.outcome) << "\",code=\"" << codeName(kind.refusal) << "\"} "
             << count << '\n';
    }
    text << "# HELP sequoia_attempts_total Attempts at backend servers.\n"
         << "# TYPE sequoia_attempts_total counter\n"
         << "sequoia_attempts_total " << this->attempts << '\n'
         << "# HELP sequoia_retries_total Attempts after the first of a request.\n"
         << "# TYPE sequoia_retries_total counter\n"
         << "sequoia_retries_total " << this->furtherAttempts << '\n'
         << "# HELP sequoia_request_seconds Time from the headers to the end of the response, answered requests.\n"
         << "# TYPE sequoia_request_seconds summary\n";
    auto count = acc::count(this->latencySeconds);
    for (std::size_t i = 0; count > 0 && i < quantiles.size(); ++i) {
        text << "sequoia_request_seconds{quantile=\"" << quantiles[i] << "\"} "
             << acc::extended_p_square(this->latencySeconds)[i] << '\n';
    }
    text << "sequoia_request_seconds_sum " << acc::sum(this->latencySeconds) << '\n'
         << "sequoia_request_seconds_count " << count << '\n';
    return text.str();
}

std::vector<wire::Counter> Metrics::counters() const
{
    std::lock_guard lock(this->mutex);
    std::vector<wire::Counter> result;
    auto add = [&result](const std::string& name, double value) {
        auto& counter = result.emplace_back();
        counter.set_name(name);
        counter.set_value(value);
    };
    for (const auto& [kind, count] : this->requests) {
        auto name = "requests." + kind.service + "." + std::string(nameOf(dispatch::outcomeNames, kind.outcome));
        if (kind.refusal)
            name += "." + std::string(codeName(kind.refusal));
        add(name, static_cast<double>(count));
    }
    add("attempts", static_cast<double>(this->attempts));
    add("retries", static_cast<double>(this->furtherAttempts));
    return result;
}

}
