#pragma once

#include "core/Clock.h"
#include "dispatch/Outcome.h"

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sequoia::dispatch {

using RequestNumber = std::uint64_t;

//! Admission control of one worker for one backend server: limits the slots in use and queues the requests that
//! wait for one. The queue is served round robin between tenants. Performs no I/O and reads no clock.
class AdmissionController {
public:
    struct Limits {
        std::size_t slots = 1;
        std::size_t queue = 0;
    };

    struct QueuedRequest {
        RequestNumber request;
        std::string tenant;
        TimePoint deadline;
    };

    struct Granted { };
    struct Queued {
        //! The newest request of the tenant with the longest queue, removed to make room.
        std::optional<RequestNumber> evicted;
    };
    struct Refused {
        RefusalCode code;
    };
    using Decision = std::variant<Granted, Queued, Refused>;

    explicit AdmissionController(const Limits& limits);

    Decision request(const QueuedRequest& waiting, TimePoint now);

    //! Releases a slot held since `grantedAt`; returns the queued request that the slot is granted to next.
    std::optional<RequestNumber> release(TimePoint grantedAt, TimePoint now);

    //! Removes a request from the queue; has no effect if it is not queued.
    void removeFromQueue(RequestNumber request);

    std::size_t slotsInUse() const { return this->slotsUsed; }
    std::size_t queueLength() const { return this->queuedCount; }
    bool idle() const { return this->slotsUsed == 0 && this->queuedCount == 0; }

private:
    struct TenantQueue {
        std::string tenant;
        std::deque<QueuedRequest> requests;
    };

    TenantQueue* queueOf(const std::string& tenant);
    TenantQueue& longestQueue();
    Duration expectedWait(const std::string& tenant) const;
    std::optional<QueuedRequest> popNext();

    Limits limits;
    std::size_t slotsUsed = 0;
    std::size_t queuedCount = 0;
    std::list<TenantQueue> tenants; //!< In round-robin order; only tenants with queued requests.
    Duration averageHoldTime {};
};

}
