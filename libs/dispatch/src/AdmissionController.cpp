#include "dispatch/AdmissionController.h"

#include <algorithm>
#include <cassert>

namespace sequoia::dispatch {

namespace {

// The newest hold time has a weight of 1/8 in the exponential moving average, which therefore follows a change of
// load within tens of requests.
constexpr int movingAverageDivisor = 8;

}

AdmissionController::AdmissionController(const Limits& given)
    : limits(given)
{
    assert(given.slots > 0);
}

AdmissionController::Decision AdmissionController::request(const QueuedRequest& waiting, TimePoint now)
{
    if (waiting.deadline <= now)
        return Refused { RefusalCode::DeadlineExceeded };
    if (this->slotsUsed < this->limits.slots) {
        ++this->slotsUsed;
        return Granted {};
    }
    if (now + this->expectedWait(waiting.tenant) >= waiting.deadline)
        return Refused { RefusalCode::DeadlineUnreachable };
    auto* ownQueue = this->queueOf(waiting.tenant);
    Queued decision;
    if (this->queuedCount >= this->limits.queue) {
        if (this->queuedCount == 0)
            return Refused { RefusalCode::QueueFull };
        auto& longest = this->longestQueue();
        auto ownLength = ownQueue ? ownQueue->requests.size() : 0;
        // A tenant may evict a request only from a queue that stays at least as long as its own.
        if (ownLength + 1 >= longest.requests.size())
            return Refused { this->tenants.size() > 1 ? RefusalCode::TenantShare : RefusalCode::QueueFull };
        decision.evicted = longest.requests.back().request;
        longest.requests.pop_back();
        --this->queuedCount;
    }
    if (!ownQueue)
        ownQueue = &this->tenants.emplace_back(TenantQueue { waiting.tenant, {} });
    ownQueue->requests.push_back(waiting);
    ++this->queuedCount;
    return decision;
}

std::optional<RequestNumber> AdmissionController::release(TimePoint grantedAt, TimePoint now)
{
    assert(this->slotsUsed > 0);
    auto held = now - grantedAt;
    this->averageHoldTime += (held - this->averageHoldTime) / movingAverageDivisor;
    auto successor = this->popNext();
    if (!successor) {
        --this->slotsUsed;
        return std::nullopt;
    }
    return successor->request;
}

void AdmissionController::removeFromQueue(RequestNumber request)
{
    for (auto queue = this->tenants.begin(); queue != this->tenants.end(); ++queue) {
        auto found = std::find_if(queue->requests.begin(), queue->requests.end(),
            [request](const QueuedRequest& candidate) { return candidate.request == request; });
        if (found == queue->requests.end())
            continue;
        queue->requests.erase(found);
        --this->queuedCount;
        if (queue->requests.empty())
            this->tenants.erase(queue);
        return;
    }
}

AdmissionController::TenantQueue* AdmissionController::queueOf(const std::string& tenant)
{
    auto found = std::find_if(this->tenants.begin(), this->tenants.end(),
        [&tenant](const TenantQueue& candidate) { return candidate.tenant == tenant; });
    return found == this->tenants.end() ? nullptr : &*found;
}

AdmissionController::TenantQueue& AdmissionController::longestQueue()
{
    return *std::max_element(this->tenants.begin(), this->tenants.end(),
        [](const TenantQueue& left, const TenantQueue& right) { return left.requests.size() < right.requests.size(); });
}

Duration AdmissionController::expectedWait(const std::string& tenant) const
{
    std::size_t ownLength = 0;
    for (const auto& queue : this->tenants) {
        if (queue.tenant == tenant)
            ownLength = queue.requests.size();
    }
    std::size_t ahead = 0;
    // Before the new request, round robin serves at most one request more of another tenant than this one has queued.
    for (const auto& queue : this->tenants)
        ahead += std::min(queue.requests.size(), queue.tenant == tenant ? ownLength : ownLength + 1);
    return this->averageHoldTime * static_cast<Duration::rep>(ahead + 1)
        / static_cast<Duration::rep>(this->limits.slots);
}

std::optional<AdmissionController::QueuedRequest> AdmissionController::popNext()
{
    if (this->tenants.empty())
        return std::nullopt;
    auto& queue = this->tenants.front();
    auto waiting = std::move(queue.requests.front());
    queue.requests.pop_front();
    --this->queuedCount;
    if (queue.requests.empty())
        this->tenants.pop_front();
    else
        this->tenants.splice(this->tenants.end(), this->tenants, this->tenants.begin());
    return waiting;
}

}
