#include "coordination/Coordinator.h"
#include "core/ManualClock.h"

#include <doctest/doctest.h>
#include <string>

using namespace sequoia;
using namespace sequoia::coordination;

namespace {

wire::Datagram reportOf(const std::string& incarnation, std::uint64_t term)
{
    wire::Datagram datagram;
    datagram.set_sender(incarnation);
    datagram.set_term(term);
    datagram.mutable_report()->set_strength(1);
    return datagram;
}

}

// Guards against a living host that is removed because another host got a datagram with its number: a datagram that
// goes astray, or a report without submissions, which a host takes for one of the coordinator.
TEST_CASE("a host is replaced only by a process at its own address")
{
    ManualClock clock;
    Coordinator coordinator(clock, 2, {}, {});
    coordinator.start({});
    coordinator.receive(reportOf("first", 2), "10.0.0.1:7000");
    auto report = reportOf("second", 2);
    report.add_replaced_hosts(1);
    coordinator.receive(report, "10.0.0.2:7000");
    CHECK(coordinator.hostCount() == 2);
    coordinator.receive(report, "10.0.0.1:7000");
    CHECK(coordinator.hostCount() == 1);
}

// Guards against a living host that is removed because its number was that of another process in an earlier term.
TEST_CASE("a host is not replaced by its number in an earlier term")
{
    ManualClock clock;
    Coordinator coordinator(clock, 2, {}, {});
    coordinator.start({});
    coordinator.receive(reportOf("first", 2), "10.0.0.1:7000");
    auto late = reportOf("second", 1);
    late.add_replaced_hosts(1);
    coordinator.receive(late, "10.0.0.1:7000");
    CHECK(coordinator.hostCount() == 2);
}
