#include "coordination/Coordinator.h"
#include "coordination/PlacementClient.h"
#include "core/ManualClock.h"
#include "fleet/ServerListAge.h"

#include <doctest/doctest.h>

using namespace sequoia;
using namespace sequoia::coordination;
using std::chrono::milliseconds;

namespace {

constexpr Duration step = milliseconds(10);
constexpr Duration beaconInterval = milliseconds(150);
constexpr Duration storeCall = milliseconds(120);
constexpr Duration runTime = std::chrono::seconds(4);

fleet::ServerMap servers()
{
    fleet::ServerMap map;
    for (const std::string id : { "s0", "s1" }) {
        fleet::ServerEntry entry;
        entry.instance = { id, 1 };
        entry.service = "plain";
        entry.address = "10.0.0.1:80";
        entry.slots = 1000;
        map[id] = entry;
    }
    return map;
}

//! Reads the list of the store in intervals. An answer has the state at the begin of the call.
struct Reader {
    bool isAnswered(TimePoint now, Duration interval, const fleet::ServerMap& stored)
    {
        if (this->enabled && !this->inProgress && now >= this->startedAt + interval) {
            this->startedAt = now;
            this->inProgress = true;
            this->read = stored;
            ++this->calls;
        }
        if (!this->inProgress || now < this->startedAt + storeCall)
            return false;
        this->inProgress = false;
        return true;
    }

    bool enabled = true;
    bool inProgress = false;
    TimePoint startedAt {};
    fleet::ServerMap read;
    unsigned calls = 0;
};

//! A store, a coordinator that loses it, and a host. Server s0 leaves right after the coordinator's last read began.
class Chain final : public edge::PlacementObserver {
public:
    enum class Leaving {
        Drains,
        Disappears,
    };

    Chain(fleet::ServerListTimes spans, Leaving way, Duration shiftOfChecks)
        : times(spans)
        , kind(way)
        , age(spans)
        , nextCheck(this->clock.now() + shiftOfChecks)
    {
        this->coordinator.start({});
        this->host.setServers(this->stored);
        this->age.recordOwnRead(this->clock.now());
    }

    void onPlaced(std::uint64_t job, const edge::PlacementTarget& target) override
    {
        if (target.server == "s0" && this->leftAt)
            this->lastRequest = this->clock.now() - *this->leftAt;
        this->host.reportEnd(job, balance::JobResult::Answered, milliseconds(5));
    }
    void onRefused(std::uint64_t, const edge::PlacementRefusal&) override { ++this->refused; }

    //! Returns the time after the leaving at which the server got its last request.
    Duration run(bool leaves = true)
    {
        for (auto end = this->clock.now() + runTime; this->clock.now() < end; this->clock.advance(step)) {
            auto now = this->clock.now();
            this->runCoordinator(now);
            if (leaves && !this->leftAt && now >= end - runTime * 3 / 4 && this->coordinatorReader.startedAt == now)
                this->leave(now);
            this->runHost(now);
            this->submit(now);
        }
        return this->lastRequest;
    }

    fleet::ServerListTimes times;
    Leaving kind;
    ManualClock clock;
    Coordinator coordinator { this->clock, 1, {}, {} };
    PlacementClient host { this->clock, {}, [] {} };
    fleet::ServerListAge age;
    fleet::ServerMap stored = servers();
    Reader coordinatorReader;
    Reader hostReader { false, false, {}, {}, 0 };
    TimePoint nextCheck;
    TimePoint coordinatorListReadAt {};
    fleet::ServerMap coordinatorList;
    TimePoint lastBeacon {};
    std::optional<TimePoint> leftAt;
    Duration lastRequest {};
    std::uint64_t lastJob = 0;
    unsigned refused = 0;
    unsigned submissions = 0;

private:
    void leave(TimePoint now)
    {
        this->leftAt = now;
        if (this->kind == Leaving::Drains)
            this->stored.at("s0").state = fleet::ServerState::Draining;
        else
            this->stored.erase("s0");
        this->coordinatorReader.enabled = false;
    }

    void runCoordinator(TimePoint now)
    {
        if (this->coordinatorReader.isAnswered(now, this->times.readInterval, this->stored)) {
            this->coordinatorListReadAt = this->coordinatorReader.startedAt;
            this->coordinatorList = this->coordinatorReader.read;
            this->coordinator.setServers(this->coordinatorList);
        }
        if (now - this->lastBeacon < beaconInterval || this->coordinatorList.empty())
            return;
        this->lastBeacon = now;
        this->host.onCoordinatorContact(1);
        this->age.recordAnnouncedAge(now - this->coordinatorListReadAt, now);
        if (this->age.acceptsCoordinatorList(now))
            this->host.setServers(this->coordinatorList);
        this->age.confirm(now);
    }

    void runHost(TimePoint now)
    {
        if (now >= this->nextCheck) {
            this->nextCheck += this->times.checkInterval;
            bool polls = !this->age.isCurrent(now);
            if (polls && !this->hostReader.enabled)
                this->hostReader.startedAt = {};
            this->hostReader.enabled = polls;
        }
        if (this->hostReader.isAnswered(now, this->times.readInterval, this->stored) && this->hostReader.enabled) {
            this->age.recordOwnRead(this->hostReader.startedAt);
            this->host.setServers(this->hostReader.read);
        }
    }

    void submit(TimePoint now)
    {
        balance::Job job;
        job.id.number = ++this->lastJob;
        job.service = "plain";
        job.target = now + milliseconds(600);
        job.deadline = now + milliseconds(2500);
        this->host.preferOwnList(!this->age.acceptsCoordinatorList(now));
        this->host.submit(job, *this);
        // Messages are exchanged until none is left, which a loop between the two would prevent.
        for (int i = 0; i < 4; ++i) {
            wire::Datagram datagram;
            if (!this->host.takeMessages(datagram))
                return;
            this->submissions += static_cast<unsigned>(datagram.submits_size());
            datagram.set_sender("host");
            this->coordinator.receive(datagram, "host");
            for (const auto& reply : this->coordinator.takeReplies())
                this->host.receive(reply.datagram);
        }
    }
};

Duration latestRequest(const fleet::ServerListTimes& times, Chain::Leaving kind)
{
    Duration latest {};
    for (Duration shift {}; shift < times.checkInterval; shift += step) {
        Chain chain(times, kind, shift);
        latest = std::max(latest, chain.run());
        CHECK(chain.leftAt);
        CHECK(chain.refused == 0);
        // A declined placement costs one more submission at most, not one per job.
        CHECK(chain.submissions <= chain.lastJob + 3);
    }
    return latest;
}

}

// Guards against requests to a server that drains or is gone while the coordinator does not reach the store: the ages
// that hosts and coordinator allow add up (review/findings/drain-2.toml).
TEST_CASE("a server that leaves while the coordinator is cut off from the store gets nothing after the bound")
{
    for (auto kind : { Chain::Leaving::Drains, Chain::Leaving::Disappears }) {
        CAPTURE(static_cast<int>(kind));
        for (Duration bound = milliseconds(1000); bound <= milliseconds(3000); bound += milliseconds(500)) {
            CAPTURE(toMillis(bound));
            CHECK(latestRequest(fleet::serverListTimes(bound), kind) < bound);
        }
        // With the earlier spans, 1.5 s and 0.9 s, the same chain exceeds the bound.
        fleet::ServerListTimes earlier { milliseconds(800), milliseconds(200), milliseconds(2400), milliseconds(900) };
        CHECK(latestRequest(earlier, kind) > milliseconds(2000));
    }
}

// Guards against calls to the store by hosts that get a current list from the coordinator.
TEST_CASE("in normal operation, hosts do not read the list themselves and the coordinator reads it as seldom as before")
{
    for (Duration bound = milliseconds(1000); bound <= milliseconds(5000); bound += milliseconds(500)) {
        CAPTURE(toMillis(bound));
        Chain chain(fleet::serverListTimes(bound), Chain::Leaving::Drains, step);
        chain.run(false);
        CHECK(chain.hostReader.calls <= 1); // before the first beacon
        if (bound >= milliseconds(2000))
            CHECK(chain.coordinatorReader.calls <= 5);
    }
}
