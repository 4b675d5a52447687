#pragma once

#include "core/Random.h"
#include "keyspace/KeyLeaseManager.h"
#include "keyspace/KeyLoad.h"

#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sequoia::keyspace::testing {

//! A backend server that follows the protocol: holds ranges under fences until their leases expire.
class FakeServer {
public:
    struct HeldRange {
        fleet::KeyRange keys;
        fleet::FencingToken fence;
        TimePoint leaseEnd;
    };

    explicit FakeServer(fleet::ServerInstance serverInstance)
        : instance(std::move(serverInstance))
    {
    }

    //! The lease starts when the order arrives, even if it is carried out later.
    LeaseOrderResponse grant(const LeaseOrder& order, TimePoint arrived);
    LeaseOrderResponse release(const LeaseOrder& order);
    bool holds(fleet::Key key, TimePoint now) const;

    fleet::ServerInstance instance;

private:
    std::vector<HeldRange> heldRanges;
    std::map<fleet::Key, fleet::FencingToken> highestFences; //!< of orders, by the first key of the order
};

//! Simulates servers, a sequence of coordinators, and a network that delays and loses messages.
class LeaseManagerSimulation {
public:
    struct Faults {
        double orderLost = 0; //!< the order does not arrive, and its sender gets no response
        double responseLost = 0; //!< the order is carried out, but its sender gets no response
        double orderDelayed = 0; //!< share of orders that are delayed
        bool serversRestart = false;
        bool serversDrain = false;
        bool serversDelisted = false; //!< servers leave the list while they still run
        bool coordinatorsReplaced = false;
        bool leasesChange = false; //!< coordinators grant leases of different lengths, and change them
    };

    LeaseManagerSimulation(std::uint64_t seed, Faults faults);

    //! Runs for the given time. Returns the first violation found, or an empty string.
    std::string run(Duration time);
    //! Fraction of keys that have an owner now.
    double ownedShare() const;

private:
    struct InFlightOrder {
        LeaseOrder order;
        std::uint64_t senderNumber;
        TimePoint arrivesAt;
        std::optional<TimePoint> respondsAt;
        std::optional<LeaseOrderResponse> response;
        bool carriedOut = false;
    };

    bool chance(double probability);
    void injectFaults();
    void send(const LeaseOrder& order);
    void deliver();
    void tickManager();
    std::string findViolation() const;
    void schedulePublish();
    KeyLeaseOptions drawOptions();
    void publishServers();

    RandomEngine random;
    Faults faults;
    TimePoint now { std::chrono::seconds(1000) };
    std::list<FakeServer> servers;
    fleet::ServerMap listed;
    fleet::ServerMap published; //!< as known to the coordinators, later than `listed`
    std::optional<TimePoint> publishAt;
    std::optional<KeyPlan> storedPlan;
    std::uint64_t managerNumber = 0;
    std::unique_ptr<KeyLeaseManager> manager;
    std::optional<std::pair<TimePoint, KeyPlan>> pendingWrite;
    std::list<InFlightOrder> inFlight;
    KeyLoad load;
    std::int64_t lastStartMillis = 1;
};

}
