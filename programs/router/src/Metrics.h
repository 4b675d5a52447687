#pragma once

#include "httpio/Gateway.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <control.pb.h>
#include <map>
#include <mutex>
#include <tuple>
#include <vector>

namespace sequoia::router {

//! Counters and latency quantiles of all workers. Thread safe.
class Metrics {
public:
    Metrics();

    void record(const httpio::GatewayObserver::Report& report);

    //! Prometheus text format.
    std::string toText() const;
    std::vector<wire::Counter> counters() const;

private:
    struct RequestKind {
        std::string service;
        dispatch::Outcome outcome;
        std::optional<dispatch::RefusalCode> refusal;

        bool operator<(const RequestKind& other) const
        {
            return std::tie(this->service, this->outcome, this->refusal)
                < std::tie(other.service, other.outcome, other.refusal);
        }
    };

    using Quantiles = boost::accumulators::accumulator_set<double,
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum,
            boost::accumulators::tag::extended_p_square>>;

    mutable std::mutex mutex;
    std::map<RequestKind, std::uint64_t> requests;
    std::uint64_t attempts = 0;
    std::uint64_t furtherAttempts = 0;
    Quantiles latencySeconds;
};

}
