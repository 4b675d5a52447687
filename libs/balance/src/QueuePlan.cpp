#include "balance/QueuePlan.h"

#include <algorithm>
#include <tuple>

namespace sequoia::balance {

namespace {

// Jobs started in a row before one that is less urgent but can meet its target: those get an eighth of the slots.
constexpr unsigned urgentStartsInARow = 7;
// Part of the capacity that late jobs are expected to get even if jobs on time seem to need all of it.
constexpr double minLateShare = 0.5;

std::vector<const Job*> sortedByPriority(std::vector<const Job*> waiting)
{
    auto goesFirst = [](const Job* left, const Job* right) {
        return std::tie(left->priority, left->target, left->id) < std::tie(right->priority, right->target, right->id);
    };
    // Queues are kept in this order.
    if (!std::is_sorted(waiting.begin(), waiting.end(), goesFirst))
        std::sort(waiting.begin(), waiting.end(), goesFirst);
    return waiting;
}

//! Moves a less urgent job forward after each run of more urgent ones.
std::vector<const Job*> withShareForLessUrgent(const std::vector<const Job*>& sorted, unsigned urgentStarts)
{
    std::vector<const Job*> result;
    result.reserve(sorted.size());
    auto urgent = sorted.begin();
    auto lessUrgent = std::find_if(
        sorted.begin(), sorted.end(), [&](const Job* job) { return job->priority != sorted.front()->priority; });
    const auto boundary = lessUrgent;
    while (urgent != boundary || lessUrgent != sorted.end()) {
        bool isTurnOfLessUrgent = lessUrgent != sorted.end() && urgentStarts >= urgentStartsInARow;
        if (urgent == boundary || isTurnOfLessUrgent) {
            result.push_back(*lessUrgent++);
            urgentStarts = 0;
        } else {
            result.push_back(*urgent++);
            ++urgentStarts;
        }
    }
    return result;
}

//! Time until the work before a job is done.
class WorkAhead {
public:
    WorkAhead(const WorkEstimates& estimates, const QueueCapacity& queueCapacity)
        : work(estimates)
        , capacity(queueCapacity)
    {
        // The next of the busy slots becomes free after about a part of the work of one job; jobs that already wait at
        // the server take it first.
        double mean = static_cast<double>(this->work.mean(0).count());
        this->micros = mean * std::max(0.0, this->capacity.inFlight - this->capacity.slots + 1);
        this->count = this->capacity.inFlight;
    }

    //! Wait of the next job if it gets `share` of the capacity.
    Duration wait(double share) const
    {
        if (this->count < this->capacity.slots)
            return this->capacity.unusableFor;
        double slots = std::max(this->capacity.slots, minSlots) * share;
        return std::max(this->capacity.unusableFor,
            Duration(static_cast<std::int64_t>(this->capacity.slowness * this->micros / slots)));
    }
    //! Expected time of the job at a server.
    Duration onServer(const Job& job)
    {
        return Duration(static_cast<std::int64_t>(this->meanMicros(job) * this->capacity.slowness));
    }
    void add(const Job& job)
    {
        this->micros += this->meanMicros(job);
        this->count += 1;
    }

private:
    // A queue whose servers are all suspended has no slots; its jobs wait for one.
    static constexpr double minSlots = 1;

    // Jobs of one class often follow each other, and this is needed for every waiting job at each arrival.
    double meanMicros(const Job& job)
    {
        if (this->lastMicros < 0 || job.workClass != this->lastClass) {
            this->lastClass = job.workClass;
            this->lastMicros = static_cast<double>(this->work.mean(job.workClass).count());
        }
        return this->lastMicros;
    }

    const WorkEstimates& work;
    const QueueCapacity& capacity;
    std::uint32_t lastClass = 0;
    double lastMicros = -1;
    double micros = 0;
    double count = 0;
};

}

QueuePlan planQueue(
    const std::vector<const Job*>& waiting, const WorkEstimates& work, const QueueCapacity& capacity, TimePoint now)
{
    QueuePlan plan;
    auto sorted = sortedByPriority(waiting);
    std::vector<const Job*> late;
    WorkAhead ahead(work, capacity);
    for (const auto* job : withShareForLessUrgent(sorted, capacity.urgentStarts)) {
        if (now + ahead.onServer(*job) > job->target) {
            late.push_back(job);
            continue;
        }
        auto wait = ahead.wait(1);
        if (now + wait + ahead.onServer(*job) > job->deadline) {
            plan.evictions.push_back({ job, wait });
            continue;
        }
        plan.order.push_back(job);
        ahead.add(*job);
    }
    plan.firstPassesUrgentOnes = !plan.order.empty() && plan.order.front()->priority != sorted.front()->priority;
    double lateShare = std::clamp(1 - capacity.onTimeLoad, minLateShare, 1.0);
    for (const auto* job : late) {
        auto wait = ahead.wait(lateShare);
        if (now + wait + ahead.onServer(*job) > job->deadline) {
            plan.evictions.push_back({ job, wait });
            continue;
        }
        plan.order.push_back(job);
        ahead.add(*job);
    }
    return plan;
}

}
