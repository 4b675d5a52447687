#include "standin/LoadRecord.h"

#include <algorithm>
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics.hpp>
#include <cstdio>

namespace sequoia::standin {

namespace {

namespace accumulators = boost::accumulators;

constexpr int maxExamples = 10;
// The estimate of a quantile needs its neighbours as markers, so more quantiles than are reported.
constexpr std::array<double, 8> probabilities { 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.995, 0.999 };
constexpr std::size_t medianIndex = 1;
constexpr std::size_t p90Index = 3;
constexpr std::size_t p99Index = 5;
constexpr std::size_t p999Index = 7;

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

double toMilliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

template <typename... Values> std::string formatText(const char* format, Values... values)
{
    std::array<char, 512> text {};
    std::snprintf(text.data(), text.size(), format, values...);
    return text.data();
}

}

//! Estimates quantiles without keeping the samples.
class LatencyRecord {
public:
    LatencyRecord()
        : samples(accumulators::extended_p_square_probabilities = probabilities)
    {
    }

    void add(Duration latency) { this->samples(toMilliseconds(latency)); }

    wire::LatencySummary summary() const
    {
        wire::LatencySummary summary;
        if (accumulators::count(this->samples) == 0)
            return summary;
        auto quantiles = accumulators::extended_p_square(this->samples);
        summary.set_mean_ms(accumulators::mean(this->samples));
        summary.set_p50_ms(quantiles[medianIndex]);
        summary.set_p90_ms(quantiles[p90Index]);
        summary.set_p99_ms(quantiles[p99Index]);
        summary.set_p999_ms(quantiles[p999Index]);
        summary.set_max_ms(accumulators::max(this->samples));
        return summary;
    }

private:
    accumulators::accumulator_set<double,
        accumulators::stats<accumulators::tag::count, accumulators::tag::mean, accumulators::tag::max,
            accumulators::tag::extended_p_square>>
        samples;
};

LoadRecord::LoadRecord()
    : latencies(std::make_unique<LatencyRecord>())
{
}

LoadRecord::~LoadRecord() = default;

void LoadRecord::sent(const std::string& idempotencyKey)
{
    this->counts.set_sent(this->counts.sent() + 1);
    if (!idempotencyKey.empty())
        ++this->writes[idempotencyKey].sends;
}

void LoadRecord::finished(
    const Judgement& judgement, KeyHash hash, const std::string& idempotencyKey, TimePoint arrival, TimePoint end)
{
    if (judgement.verdict == Verdict::Served) {
        this->counts.set_served(this->counts.served() + 1);
        this->unavailability.success(hash, arrival, end);
        this->latencies->add(end - arrival);
        return;
    }
    this->unavailability.failure(hash, arrival);
    ++(*this->counts.mutable_reasons())[judgement.reason];
    if (judgement.verdict == Verdict::Wrong) {
        this->counts.set_wrong(this->counts.wrong() + 1);
        this->addExample("wrong: " + judgement.reason + ", idempotency key \"" + idempotencyKey + "\"");
    } else if (judgement.verdict == Verdict::NotRun) {
        this->counts.set_not_run(this->counts.not_run() + 1);
        if (!idempotencyKey.empty())
            ++this->writes[idempotencyKey].notRun;
    } else
        this->counts.set_unknown(this->counts.unknown() + 1);
}

void LoadRecord::addExample(const std::string& text)
{
    if (this->counts.examples_size() < maxExamples)
        this->counts.add_examples(text);
}

wire::LoadReport LoadRecord::report(const JournalCheck& journals, Duration length, TimePoint now) const
{
    wire::LoadReport report = this->counts;
    auto findings = journals.findings(this->writes);
    report.set_repeated(static_cast<std::uint32_t>(findings.repeated.size()));
    report.set_false_not_run(static_cast<std::uint32_t>(findings.falseNotRun.size()));
    report.set_journal_executions(findings.executions);
    report.set_journal_malformed(journals.malformedLines());
    auto addKeys = [&](const char* kind, const std::vector<std::string>& keys) {
        for (const auto& key : keys) {
            if (report.examples_size() < 2 * maxExamples)
                report.add_examples(formatText("%s: idempotency key \"%s\"", kind, key.c_str()));
        }
    };
    addKeys("repeated", findings.repeated);
    addKeys("false not-run", findings.falseNotRun);
    report.set_seconds(toSeconds(length));
    report.set_requests_per_second(report.served() / std::max(toSeconds(length), 1e-9));
    *report.mutable_latency() = this->latencies->summary();
    auto unavailable = this->unavailability.summary(now);
    report.set_unavailable_s(toSeconds(unavailable.sum));
    report.set_unavailable_max_s(toSeconds(unavailable.longest));
    report.set_unavailable_groups(unavailable.groups);
    report.set_unrecovered_groups(unavailable.unrecovered);
    return report;
}

bool isClean(const wire::LoadReport& report)
{
    return report.wrong() == 0 && report.repeated() == 0 && report.false_not_run() == 0;
}

std::string formatReport(const wire::LoadReport& report)
{
    std::string text = formatText("requests     sent %u, served %u, not run %u, unknown %u, wrong %u\n", report.sent(),
        report.served(), report.not_run(), report.unknown(), report.wrong());
    text += formatText("generator    not sent because of --concurrency %u, sent again %u, refused connections %u\n",
        report.suppressed(), report.resent(), report.skipped_targets());
    text += formatText("journals     executions %u, repeated %u, falsely not run %u, malformed lines %u\n",
        report.journal_executions(), report.repeated(), report.false_not_run(), report.journal_malformed());
    const auto& latency = report.latency();
    text += formatText("latency ms   mean %.2f, p50 %.2f, p90 %.2f, p99 %.2f, p99.9 %.2f, max %.2f\n",
        latency.mean_ms(), latency.p50_ms(), latency.p90_ms(), latency.p99_ms(), latency.p999_ms(), latency.max_ms());
    text += formatText("unavailable  sum %.3f s, longest %.3f s, key groups %u of %zu, not recovered %u\n",
        report.unavailable_s(), report.unavailable_max_s(), report.unavailable_groups(), Unavailability::groupCount,
        report.unrecovered_groups());
    text += formatText(
        "throughput   %.1f served per second in %.1f s\n", report.requests_per_second(), report.seconds());
    std::vector<std::pair<std::string, std::uint32_t>> reasons(report.reasons().begin(), report.reasons().end());
    std::sort(reasons.begin(), reasons.end());
    for (const auto& [reason, count] : reasons)
        text += "reason       " + std::to_string(count) + " x " + reason + "\n";
    for (const auto& example : report.examples())
        text += "example      " + example + "\n";
    return text;
}

std::string formatSummaryLine(const wire::LoadReport& report)
{
    return formatText("load served=%u wrong=%u repeated=%u false_not_run=%u not_run=%u unknown=%u unavailable_s=%.3f "
                      "p50_ms=%.2f p99_ms=%.2f rps=%.1f",
        report.served(), report.wrong(), report.repeated(), report.false_not_run(), report.not_run(), report.unknown(),
        report.unavailable_s(), report.latency().p50_ms(), report.latency().p99_ms(), report.requests_per_second());
}

}
