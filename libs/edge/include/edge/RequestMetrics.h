#pragma once

#include "core/Clock.h"
#include "core/EnumTable.h"
#include "fleet/Configuration.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <map>
#include <string>
#include <tuple>

namespace sequoia::edge {

//! How a request ended for its caller.
enum class RequestOutcome {
    Answered, //!< by a backend server
    ServerFailed, //!< a backend server responded with a server error
    Refused, //!< by this host: the request was not executed
    Failed, //!< by this host: the request may have been executed
    CallerGone,
};

inline constexpr EnumTable<RequestOutcome, 5> requestOutcomeNames { {
    { RequestOutcome::Answered, "answered" },
    { RequestOutcome::ServerFailed, "server-failed" },
    { RequestOutcome::Refused, "refused" },
    { RequestOutcome::Failed, "failed" },
    { RequestOutcome::CallerGone, "caller-gone" },
} };

//! Latency histograms of requests by kind, service and outcome.
class RequestMetrics {
public:
    void record(fleet::RequestKind kind, const std::string& service, RequestOutcome outcome, Duration latency);
    //! Returns the histograms in the Prometheus text format.
    std::string toText() const;

private:
    //! Upper bounds of the buckets in milliseconds, chosen around the latency targets and deadlines.
    static constexpr std::array<int, 11> bounds { 5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000, 10000 };

    struct Histogram {
        std::array<std::uint64_t, bounds.size()> buckets {};
        boost::accumulators::accumulator_set<double,
            boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum>>
            seconds;
    };
    using Key = std::tuple<fleet::RequestKind, std::string, RequestOutcome>;

    std::map<Key, Histogram> histograms;
};

}
