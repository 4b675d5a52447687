#pragma once

#include "balance/OwnerLookup.h"
#include "keyspace/KeyPlan.h"
#include "keyspace/Rebalancer.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sequoia::keyspace {

using LeaseOrderId = std::uint64_t;

enum class LeaseOrderType {
    Grant, //!< The server may serve the keys for the lease duration. The same fence again renews the lease.
    Release, //!< The server stops serving the keys and answers once its running requests have finished.
};

//! An order to a backend server to serve keys, or to stop serving them.
struct LeaseOrder {
    LeaseOrderId id = 0;
    LeaseOrderType type = LeaseOrderType::Grant;
    std::string service;
    fleet::ServerInstance server;
    std::string address;
    fleet::KeyRange keys;
    fleet::FencingToken fence = 0;
    Duration leaseDuration {}; //!< grants only
    bool renewal = false; //!< extends an existing lease; may be sent while changes of owner are suspended
    std::string handover; //!< grants only; state of the keys as returned by the previous owner
};

enum class LeaseOrderResult {
    Accepted,
    HigherFenceSeen,
    NotSent, //!< The server has not received the order, for example because there was no connection.
    //! The order may have been carried out or may still be, but it does not arrive after this response.
    Unknown,
};

struct LeaseOrderResponse {
    LeaseOrderResult result = LeaseOrderResult::Unknown;
    std::string handover; //!< releases only; state of the keys for the next owner
    bool serverLeaving = false; //!< the server announced that it leaves
};

//! Timing of leases and of the orders that keep them.
struct KeyLeaseOptions {
    Duration leaseDuration = std::chrono::seconds(4);
    Duration renewInterval = std::chrono::seconds(1);
    double clockRateBound = 0.02; //!< a server's clock may be slow by up to this fraction
    //! Longest time that a grant is expected to be in flight.
    Duration maxDeliveryDelay = std::chrono::milliseconds(400);
    Duration orderRetryInterval = std::chrono::milliseconds(250);
    //! Longest lease that any coordinator grants. Hosts may have different settings for a while.
    Duration maxLeaseDuration = std::chrono::seconds(4);

    //! The defaults, with leases and intervals shortened to servers that take leases of at most this length.
    static KeyLeaseOptions limitedTo(Duration longestLease);
};

//! A change of owner, for the event log.
struct OwnershipEvent {
    std::string kind;
    fleet::KeyRange keys;
    std::string from;
    std::string to;
    fleet::FencingToken fence = 0;
    std::string reason;
};

//! Manages which server owns each key of one service: renews leases, moves keys, and replaces lost owners.
//! Does no input or output and has no clock of its own.
//!
//! A change of owner is written to the store first, then the old owner releases the keys or its lease expires, then
//! the new owner is granted them under a higher fence. So no two servers hold a lease of the same key at once.
class KeyLeaseManager {
public:
    struct TickOutputs {
        std::vector<LeaseOrder> orders;
        std::optional<KeyPlan> planToWrite; //!< to be stored and then confirmed with confirmWrite(), one at a time
        std::vector<OwnershipEvent> events;
    };

    //! Starts from a stored plan, or from one without owners. Leases granted by an earlier coordinator may still be
    //! valid.
    KeyLeaseManager(KeyPlan stored, std::uint64_t term, KeyLeaseOptions options, TimePoint now);

    void setServers(const fleet::ServerMap& servers);
    void setCapacities(const ServerCapacities& capacities) { this->capacities = capacities; }
    void setSurgePolicy(SurgePolicy policy) { this->surgePolicy = policy; }
    //! Applies to the orders that are sent from now on.
    void setOptions(const KeyLeaseOptions& changed) { this->options = changed; }

    TickOutputs tick(const KeyLoad& load, TimePoint now);
    void confirmWrite(std::uint64_t sequence, TimePoint now);
    void handleResponse(LeaseOrderId order, const LeaseOrderResponse& response, TimePoint now);

    balance::Owner ownerOf(fleet::Key key, TimePoint now) const;
    //! The plan for the other hosts, including changes that are not written yet.
    const KeyPlan& plan() const { return this->currentPlan; }
    std::uint64_t version() const { return this->planVersion; }
    //! Whether no change of owner is pending.
    bool isSteady() const;
    //! Whether a server has refused an order because it has seen a higher fence, given out by a later coordinator.
    bool isSuperseded() const { return this->superseded; }

private:
    enum class Stage {
        Steady, //!< The owner has a lease, which is renewed.
        AwaitingWrite, //!< The change of owner waits until it is written.
        Releasing,
        Granting,
    };
    struct RangeState {
        Stage stage = Stage::Granting;
        TimePoint ownerLeaseEnd {}; //!< latest time until which the owner may hold a lease
        TimePoint successorLeaseEnd {};
        //! Latest time until which a former owner or successor may hold a lease.
        TimePoint blockedUntil {};
        TimePoint leaseEndBeforeOrder {}; //!< lease end if the outstanding order does not arrive
        TimePoint confirmedLeaseEnd {}; //!< the owner's lease lasts at least until then
        TimePoint nextOrderAt {};
        LeaseOrderId outstandingOrder = 0;
        LeaseOrderType outstandingOrderType = LeaseOrderType::Grant;
        TimePoint orderSentAt {};
        Duration orderLeaseDuration {};
        unsigned unansweredOrders = 0; //!< in a row
        std::string handover;
        TimePoint movedAt {};
    };

    bool isPresent(const fleet::ServerInstance& instance) const;
    bool isReady(const fleet::ServerInstance& instance) const;
    bool hasRestarted(const fleet::ServerInstance& instance) const;
    const char* replacementReason(std::size_t index, TimePoint now) const;
    //! Whether the last order to the server failed a short time ago.
    bool isUnresponsive(const fleet::ServerInstance& server, TimePoint now) const;
    void recordResponse(std::size_t index, LeaseOrderResult result, TimePoint now);
    void planReplacements(const KeyLoad& load, TimePoint now, TickOutputs& outputs);
    void planRebalancing(const KeyLoad& load, TimePoint now, TickOutputs& outputs);
    void applyMove(const KeyMove& move, const char* reason, TickOutputs& outputs);
    std::size_t splitRangeAt(std::uint32_t key);
    void mergeAdjacentRanges(TimePoint now);
    void raiseFences();
    void requestWrite(TickOutputs& outputs);
    void advanceRange(std::size_t index, TimePoint now, TickOutputs& outputs);
    void renewLease(std::size_t index, TimePoint now, TickOutputs& outputs);
    void sendRelease(std::size_t index, TimePoint now, TickOutputs& outputs);
    void sendGrant(std::size_t index, TimePoint now, TickOutputs& outputs);
    LeaseOrder makeOrder(
        std::size_t index, LeaseOrderType type, const fleet::ServerInstance& server, fleet::FencingToken fence);
    void handleGrantResponse(std::size_t index, const LeaseOrderResponse& response, TimePoint now);
    void setOutstandingOrder(RangeState& state, const LeaseOrder& order, TimePoint now);
    void handleReleaseResponse(std::size_t index, const LeaseOrderResponse& response);
    //! Time that a lease may last by the server's clock.
    Duration onSlowClock(Duration lease) const;
    TimePoint latestLeaseEnd(TimePoint sent, Duration lease) const;
    void extendLease(RangeState& state, LeaseOrderResult result, TimePoint now) const;

    KeyPlan currentPlan;
    std::vector<RangeState> states; //!< of currentPlan.ranges, by index
    KeyLeaseOptions options;
    fleet::ServerMap servers;
    std::map<fleet::ServerInstance, std::string> lastAddresses; //!< also of servers that are no longer listed
    std::map<fleet::ServerInstance, TimePoint> lastFailedOrderAt; //!< of servers whose last order was not accepted
    ServerCapacities capacities;
    SurgePolicy surgePolicy = SurgePolicy::Gradual;
    std::optional<std::uint64_t> pendingWrite; //!< sequence of the plan whose write is not confirmed
    bool fencesRaised = false;
    //! Orders of an earlier coordinator have arrived by then, if at all.
    TimePoint earlierOrdersArrivedBy {};
    bool hasUnwrittenChanges = false; //!< since the last write was requested
    bool superseded = false;
    LeaseOrderId lastOrderId = 0;
    std::uint64_t planVersion = 1;
    TimePoint lastRebalance {};
};

}
