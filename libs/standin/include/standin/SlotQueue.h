#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>

namespace sequoia::standin {

//! Which requests run and which wait, in order of arrival.
class SlotQueue {
public:
    using RequestNumber = std::uint64_t;

    enum class Admission {
        Started,
        Queued,
        Refused, //!< All slots are occupied and the queue is full.
    };

    SlotQueue(std::size_t slots, std::size_t queueLimit);

    //! New limits; requests that already run or wait are kept.
    void setLimits(std::size_t slots, std::size_t queueLimit);

    Admission offer(RequestNumber request);

    //! Removes a request that runs or waits; no effect on others.
    void remove(RequestNumber request);

    //! Moves the first waiting request into a free slot, if there are both.
    std::optional<RequestNumber> startNext();

    std::size_t running() const { return this->runningRequests.size(); }
    std::size_t waiting() const { return this->waitingRequests.size(); }

private:
    std::size_t slotLimit;
    std::size_t waitLimit;
    std::set<RequestNumber> runningRequests;
    std::deque<RequestNumber> waitingRequests;
};

}
