#include "CoordinationLoad.h"

#include <cstdio>
#include <gflags/gflags.h>

DEFINE_double(requests_per_host, 13, "requests per second and host");
DEFINE_double(overload, 1, "factor on the requests; above 1.4 the servers cannot serve all");
DEFINE_double(hot_share, 0, "share of the keyed requests that go to a few keys, which change every five seconds");
DEFINE_bool(competing_priorities, false, "requests of two priorities compete, so that the queues are cost-aware");
DEFINE_bool(tick_on_response, false, "run all decisions after each response to a lease order");
DEFINE_uint64(seed, 1, "seed of arrivals and service times");
DEFINE_uint32(seconds, 5, "simulated seconds that are measured");

//! Prints the coordinator's processor time at several numbers of hosts.
int main(int argc, char** argv)
{
    gflags::SetUsageMessage("measures the processor time of the coordinator on simulated messages of all hosts");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::printf("%6s %8s %11s %9s %9s %9s %9s %9s %11s %9s\n", "hosts", "jobs/s", "submissions", "reports", "ticks",
        "beacons", "cores", "us/job", "bytes/host/s", "orders/s");
    for (std::size_t hosts : { 30U, 100U, 195U, 300U, 500U }) {
        sequoia::bench::DeploymentSize size;
        size.hosts = hosts;
        size.requestsPerSecond = FLAGS_requests_per_host * FLAGS_overload * static_cast<double>(hosts);
        size.hotShare = FLAGS_hot_share;
        size.competingPriorities = FLAGS_competing_priorities;
        size.tickOnResponse = FLAGS_tick_on_response;
        sequoia::bench::CoordinationLoad load(size, FLAGS_seed);
        auto result = load.run(std::chrono::seconds(3), std::chrono::seconds(FLAGS_seconds));
        const auto& time = result.time;
        std::printf("%6zu %8.0f %11.4f %9.4f %9.4f %9.4f %9.4f %9.1f %11.0f %9.0f\n", hosts,
            static_cast<double>(result.submitted) / FLAGS_seconds, time.submissions, time.reports, time.ticks,
            time.beacons, time.total(), time.total() * 1e6 * FLAGS_seconds / static_cast<double>(result.submitted),
            result.beaconBytesPerHostSecond, static_cast<double>(result.orders) / FLAGS_seconds);
        std::fflush(stdout);
    }
    return 0;
}
