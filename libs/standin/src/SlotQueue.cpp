#include "standin/SlotQueue.h"

namespace sequoia::standin {

SlotQueue::SlotQueue(std::size_t slots, std::size_t queueLimit)
    : slotLimit(slots)
    , waitLimit(queueLimit)
{
}

void SlotQueue::setLimits(std::size_t slots, std::size_t queueLimit)
{
    this->slotLimit = slots;
    this->waitLimit = queueLimit;
}

SlotQueue::Admission SlotQueue::offer(RequestNumber request)
{
    // A free slot does not let a new request pass those that wait.
    if (this->waitingRequests.empty() && this->runningRequests.size() < this->slotLimit) {
        this->runningRequests.insert(request);
        return Admission::Started;
    }
    if (this->waitingRequests.size() >= this->waitLimit)
        return Admission::Refused;
    this->waitingRequests.push_back(request);
    return Admission::Queued;
}

void SlotQueue::remove(RequestNumber request)
{
    this->runningRequests.erase(request);
    std::erase(this->waitingRequests, request);
}

std::optional<SlotQueue::RequestNumber> SlotQueue::startNext()
{
    if (this->waitingRequests.empty() || this->runningRequests.size() >= this->slotLimit)
        return std::nullopt;
    auto request = this->waitingRequests.front();
    this->waitingRequests.pop_front();
    this->runningRequests.insert(request);
    return request;
}

}
