#include "edge/RequestMetrics.h"

#include <sstream>

namespace sequoia::edge {

namespace {

// Services come and go with the configuration; the limit bounds the size of the metrics page and memory.
constexpr std::size_t maxSeries = 500;

}

void RequestMetrics::record(
    fleet::RequestKind kind, const std::string& service, RequestOutcome outcome, Duration latency)
{
    Key key { kind, service, outcome };
    if (!this->histograms.contains(key) && this->histograms.size() >= maxSeries)
        std::get<1>(key) = "other";
    auto& histogram = this->histograms[key];
    histogram.seconds(std::chrono::duration<double>(latency).count());
    for (std::size_t i = 0; i < bounds.size(); ++i) {
        if (latency <= std::chrono::milliseconds(bounds.at(i)))
            ++histogram.buckets.at(i);
    }
}

std::string RequestMetrics::toText() const
{
    namespace acc = boost::accumulators;
    std::ostringstream text;
    text << "# HELP sequoia_request_seconds Time from the head of a request to its answer.\n"
         << "# TYPE sequoia_request_seconds histogram\n";
    for (const auto& [key, histogram] : this->histograms) {
        const auto& [kind, service, outcome] = key;
        std::string labels = "kind=\"" + std::string(nameOf(fleet::requestKindNames, kind)) + "\",service=\"" + service
            + "\",outcome=\"" + std::string(nameOf(requestOutcomeNames, outcome)) + "\"";
        for (std::size_t i = 0; i < bounds.size(); ++i)
            text << "sequoia_request_seconds_bucket{" << labels << ",le=\"" << bounds.at(i) / 1000.0 << "\"} "
                 << histogram.buckets.at(i) << '\n';
        text << "sequoia_request_seconds_bucket{" << labels << ",le=\"+Inf\"} " << acc::count(histogram.seconds) << '\n'
             << "sequoia_request_seconds_sum{" << labels << "} " << acc::sum(histogram.seconds) << '\n'
             << "sequoia_request_seconds_count{" << labels << "} " << acc::count(histogram.seconds) << '\n';
    }
    return text.str();
}

}
