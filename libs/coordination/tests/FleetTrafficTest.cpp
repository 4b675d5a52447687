#include "coordination/FleetTraffic.h"
#include "coordination/StateEncoding.h"

#include <doctest/doctest.h>

using namespace sequoia;
using namespace sequoia::coordination;

// Guards against bytes that no purpose accounts for, or that two do: the counters would not explain a host's traffic.
TEST_CASE("the bytes of all purposes add up to the datagrams sent, and each datagram has one main purpose")
{
    wire::Datagram host;
    host.set_sender("host");
    host.add_submits()->set_service("a service with a long name");
    host.add_ends()->set_job(1);
    host.mutable_report()->set_strength(0.5);
    auto* request = host.mutable_report()->add_state_requests();
    request->set_group(serverGroup);
    for (std::uint64_t i = 0; i < 128; ++i)
        request->add_digests(i);
    wire::Datagram state;
    for (const char* group : { serverGroup, configurationGroup, evacuationGroup, "owners/service", "unknown" }) {
        auto* bucket = state.add_buckets();
        bucket->set_group(group);
        bucket->set_content(std::string(group == configurationGroup ? 900 : 10, 'x'));
    }
    FleetTraffic traffic;
    traffic.add(host, trafficScope("a", ""));
    traffic.add(state, trafficScope("a", "b"));
    traffic.add(state, trafficScope("a", "a"));
    traffic.add({}, TrafficScope::Unknown);
    CHECK(traffic.total().datagrams == 4);
    CHECK(traffic.total().bytes == host.ByteSizeLong() + 2 * state.ByteSizeLong() + 4 * 28);
    CHECK(traffic.count(TrafficPurpose::StateRequest, TrafficScope::Unknown).datagrams == 1);
    CHECK(traffic.count(TrafficPurpose::Report, TrafficScope::Unknown).bytes < 20);
    CHECK(traffic.count(TrafficPurpose::Configuration, TrafficScope::OtherDataCentre).bytes > 900);
    CHECK(traffic.count(TrafficPurpose::Owners, TrafficScope::SameDataCentre).bytes > 0);
    CHECK(traffic.toText().find("sequoia_fleet_datagrams_total{purpose=\"configuration\",data_centre=\"other\"} 1\n")
        != std::string::npos);
    CHECK(traffic.toFields().size() == 2 * 9);
}
