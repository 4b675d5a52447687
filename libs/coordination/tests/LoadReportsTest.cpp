#include "coordination/Coordinator.h"
#include "coordination/JobMessages.h"
#include "coordination/PlacementClient.h"
#include "core/ManualClock.h"

#include <doctest/doctest.h>

using namespace sequoia;
using namespace sequoia::coordination;
using std::chrono::milliseconds;

namespace {

const std::string hostAddress = "127.0.0.1:1000";
constexpr unsigned slots = 6;

class ServerObserver final : public edge::PlacementObserver {
public:
    void onPlaced(std::uint64_t job, const edge::PlacementTarget&) override { this->placed.push_back(job); }
    void onRefused(std::uint64_t, const edge::PlacementRefusal&) override { }
    std::vector<std::uint64_t> placed;
};

//! A host, a coordinator and one server.
class ReportFixture {
public:
    ReportFixture()
    {
        fleet::ServerEntry entry;
        entry.instance = { "s0", 1 };
        entry.service = "plain";
        entry.address = "10.0.0.1:80";
        entry.slots = slots;
        this->coordinator.setServers({ { "s0", entry } });
        this->coordinator.start({});
        this->host.setServers({ { "s0", entry } });
        this->host.onCoordinatorContact(1);
    }

    void submit()
    {
        balance::Job job;
        job.id.number = ++this->lastJob;
        job.service = "plain";
        job.target = this->clock.now() + milliseconds(600);
        job.deadline = this->clock.now() + milliseconds(2500);
        this->host.submit(job, this->observer);
    }

    //! Returns the datagram of the host.
    wire::Datagram exchange()
    {
        wire::Datagram datagram;
        if (this->host.takeMessages(datagram)) {
            datagram.set_sender("host");
            this->coordinator.receive(datagram, hostAddress);
        }
        for (const auto& message : this->coordinator.takeReplies())
            this->host.receive(message.datagram);
        return datagram;
    }

    //! Places one job and ends it with this report.
    wire::Datagram endJob(const std::optional<balance::ServerReport>& report)
    {
        this->submit();
        this->exchange();
        REQUIRE(this->observer.placed.size() == this->lastJob);
        this->host.reportEnd(this->observer.placed.back(), balance::JobResult::Answered, milliseconds(100), report);
        return this->exchange();
    }

    std::size_t placeMany()
    {
        auto before = this->observer.placed.size();
        for (unsigned i = 0; i < 2 * slots; ++i)
            this->submit();
        this->exchange();
        return this->observer.placed.size() - before;
    }

    ManualClock clock;
    Coordinator coordinator { this->clock, 1, {}, {} };
    PlacementClient host { this->clock, {}, [] {} };
    ServerObserver observer;
    std::uint64_t lastJob = 0;
};

}

// Guards against a report that is lost on its way to the decision.
TEST_CASE("the coordinator gets the load of a server with the end of a job")
{
    ReportFixture fixture;
    auto datagram = fixture.endJob(balance::ServerReport { 4, 1, slots, 300 });
    REQUIRE(datagram.ends_size() == 1);
    CHECK(serverReportOf(datagram.ends(0)) == balance::ServerReport { 4, 1, slots, 300 });
    // The job that ended is one of the five.
    CHECK(fixture.placeMany() == slots - 4);
}

// Guards against other bytes between hosts where servers state no load.
TEST_CASE("without a report the end of a job has the same bytes as before")
{
    ReportFixture fixture;
    auto datagram = fixture.endJob(std::nullopt);
    REQUIRE(datagram.ends_size() == 1);
    wire::JobEnd expected;
    expected.set_job(1);
    expected.set_result(static_cast<std::uint32_t>(balance::JobResult::Answered));
    expected.set_elapsed_us(100'000);
    CHECK(datagram.ends(0).SerializeAsString() == expected.SerializeAsString());
    CHECK(fixture.placeMany() == slots);
}

// Guards against a server, or a host, that takes a server from use with what it states.
TEST_CASE("a report with impossible figures leaves the server in use")
{
    for (const auto& lie : { balance::ServerReport { UINT32_MAX, UINT32_MAX, UINT32_MAX, UINT32_MAX },
             balance::ServerReport { 1, 1, 0, 0 } }) {
        ReportFixture fixture;
        fixture.endJob(lie);
        fixture.clock.advance(milliseconds(250));
        fixture.host.onCoordinatorContact(1);
        CHECK(fixture.placeMany() == slots);
    }
}

// Guards against a host without coordinator that ignores what servers state.
TEST_CASE("a host that places jobs on its own takes the report, too")
{
    ReportFixture fixture;
    fixture.host.onCoordinatorLost();
    fixture.submit();
    REQUIRE(fixture.observer.placed.size() == 1);
    fixture.host.reportEnd(
        1, balance::JobResult::Answered, milliseconds(100), balance::ServerReport { 6, 9, slots, 100 });
    fixture.submit();
    fixture.submit();
    // A host may use a third of the slots, and one of them always.
    CHECK(fixture.observer.placed.size() == 2);
    CHECK(fixture.host.waitingJobs() == 1);
}
