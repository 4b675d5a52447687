#include "SchedulerPool.h"

#include <algorithm>

// The part of Scheduler for services whose callers compete: applies the decisions of planQueue().

namespace sequoia::balance {

namespace {

// As for other services: the owner of a key can start the next job without a round trip.
constexpr unsigned extraJobsKeyed = 1;
// Callers wait at most a third of the time left until their deadline.
constexpr int maxReturnDivisor = 3;
constexpr Duration minRetryAfter = std::chrono::milliseconds(100);
// Part of the capacity that is kept for callers that were told to come back, even in overload.
constexpr double minReturnShare = 0.1;
// A job with this many times its expected work left until its deadline is placed on a free slot without a plan. Servers
// have two slots or more, so that the wait behind a job in the extra place is shorter than the job.
constexpr double singleJobMargin = 2;
// Slowness that overdue jobs alone can show, relative to the measured one, where callers compete for the servers: a
// wrong estimate there refuses jobs that would be served in time.
constexpr double overdueLimitInOverload = 2;

}

void Scheduler::setCostAwareServices(const std::set<std::string, std::less<>>& services)
{
    this->costAwareServices = services;
    for (auto& [service, pool] : this->pools)
        pool->costAware = services.contains(service);
    for (auto& [id, load] : this->loads)
        this->applyOverdueLimit(load);
}

void Scheduler::applyOverdueLimit(ServerLoad& load) const
{
    bool costAware = this->costAwareServices.contains(load.entry().service);
    load.setOverdueLimit(costAware ? overdueLimitInOverload : ServerLoad::noOverdueLimit);
}

bool Scheduler::isPlanned(const Pool& pool, const std::string& name) const
{
    return pool.costAware && !(pool.keyed && name == queueWithoutOwner);
}

bool Scheduler::mayHaveFreeSlot(const Pool& pool, const std::string& name, TimePoint now) const
{
    if (!pool.keyed)
        return std::any_of(pool.members.begin(), pool.members.end(),
            [&](const ServerLoad* load) { return load->hasFreeSlot(0, this->slotShare, now); });
    auto load = this->loads.find(name);
    return load != this->loads.end() && load->second.hasFreeSlot(extraJobsKeyed, this->slotShare, now);
}

QueueCapacity Scheduler::capacityOf(Pool& pool, const std::string& name, TimePoint now)
{
    QueueCapacity result;
    auto meanWork = pool.work.mean(0);
    if (pool.keyed) {
        auto load = this->loads.find(name);
        if (load == this->loads.end())
            return result;
        result.slowness = load->second.slowness(meanWork, now);
        // A suspension is shorter than most jobs, and the slots keep working during it.
        bool ready = load->second.entry().state == fleet::ServerState::Ready;
        result.slots = ready ? load->second.entry().slots : 0;
        result.unusableFor = std::max(Duration::zero(), load->second.usableAt() - now);
        double secondsOfJob = std::chrono::duration<double>(meanWork).count() * result.slowness;
        if (load->second.isCold(now))
            result.slots = std::min(result.slots, load->second.coldRate(now) * secondsOfJob);
        result.inFlight = load->second.inFlight();
    } else {
        result.slots = this->capacity(pool, name, now);
        for (const auto* load : pool.members)
            result.inFlight += load->inFlight();
    }
    auto& state = pool.states[name];
    result.urgentStarts = state.urgentStarts;
    if (result.slots > 0)
        result.onTimeLoad = state.arrivals.jobsInParallel(now) * result.slowness / result.slots;
    return result;
}

void Scheduler::recordArrival(Pool& pool, const std::string& name, const Job& job, TimePoint now)
{
    auto load = pool.keyed ? this->loads.find(name) : this->loads.end();
    double slowness = load == this->loads.end() ? 1 : load->second.slowness(pool.work.mean(0), now);
    auto likely = static_cast<double>(pool.work.likely(job.workClass).count()) * slowness;
    if (now + Duration(static_cast<std::int64_t>(likely)) <= job.target)
        pool.states[name].arrivals.record(pool.work.mean(job.workClass), now);
}

std::optional<std::string> Scheduler::serverFor(
    const Pool& pool, const std::string& name, const Job& job, TimePoint now) const
{
    if (!pool.keyed)
        return this->chooseServer(pool, job, now);
    auto load = this->loads.find(name);
    if (load == this->loads.end() || !this->isOwnedBy(pool, job, name))
        return std::nullopt;
    bool usable = load->second.hasFreeSlot(extraJobsKeyed, this->slotShare, now)
        && now >= load->second.pausedUntil(job.id.host);
    return usable ? std::optional(name) : std::nullopt;
}

JobRefusal Scheduler::refusalWithReturn(
    Pool& pool, const std::string& name, const Job& job, Duration wait, const QueueCapacity& capacity, TimePoint now)
{
    auto latest = std::max(minRetryAfter, (job.deadline - now) / maxReturnDivisor);
    double share = std::clamp(1 - capacity.onTimeLoad, minReturnShare, 1.0);
    double micros = static_cast<double>(pool.work.mean(job.workClass).count()) * capacity.slowness
        / (std::max(1.0, capacity.slots) * share);
    auto retryAfter = pool.states[name].returns.reserve(
        std::max(wait, minRetryAfter), latest, Duration(static_cast<std::int64_t>(micros)), job.id.number, now);
    return { job.id, RefusalReason::Overloaded, retryAfter };
}

// Without overload most jobs find a free slot and no other job waiting, so that there is nothing to plan.
bool Scheduler::placeSingleJob(
    Pool& pool, const std::string& name, TimePoint now, std::vector<SchedulingDecision>& decisions)
{
    auto& queue = pool.queues[name];
    if (queue.size() != 1)
        return false;
    auto job = queue.begin()->second;
    auto load = pool.keyed ? this->loads.find(name) : this->loads.end();
    double slowness = load == this->loads.end() ? 1 : load->second.slowness(pool.work.mean(0), now);
    double longest = static_cast<double>(pool.work.mean(job.workClass).count()) * slowness * singleJobMargin;
    if (now + Duration(static_cast<std::int64_t>(longest)) > job.deadline)
        return false;
    auto server = this->serverFor(pool, name, job, now);
    if (!server)
        return false;
    ++pool.states[name].urgentStarts;
    this->place(pool, job, *server, now, decisions);
    this->waiting.erase(job.id);
    queue.clear();
    return true;
}

void Scheduler::applyPlan(
    Pool& pool, const std::string& name, TimePoint now, std::vector<SchedulingDecision>& decisions)
{
    auto& queue = pool.queues[name];
    if (queue.empty() || this->placeSingleJob(pool, name, now, decisions))
        return;
    std::vector<const Job*> jobs;
    jobs.reserve(queue.size());
    for (const auto& [rank, job] : queue)
        jobs.push_back(&job);
    auto capacity = this->capacityOf(pool, name, now);
    auto plan = planQueue(jobs, pool.work, capacity, now);
    auto remove = [&](const Job& job) {
        this->waiting.erase(job.id);
        queue.erase(Pool::rankOf(job));
    };
    auto evict = [&](const Job& job, Duration wait) {
        ++pool.counters.refused;
        decisions.emplace_back(this->refusalWithReturn(pool, name, job, wait, capacity, now));
        remove(job);
    };
    auto& state = pool.states[name];
    bool isFirst = true;
    for (const auto* job : plan.order) {
        if (auto server = this->serverFor(pool, name, *job, now)) {
            if (isFirst)
                state.urgentStarts = plan.firstPassesUrgentOnes ? 0 : state.urgentStarts + 1;
            this->place(pool, *job, *server, now, decisions);
            remove(*job);
        } else if (now < this->lastPauseEnd) {
            auto pause = this->earliestUse(pool, name, *job, now) - now;
            if (now + pause + pool.work.mean(job->workClass) > job->deadline)
                evict(*job, pause);
            else if (job->tried.empty() && !this->isHeldByPause(pool, name, *job, now))
                break;
        } else if (job->tried.empty())
            break;
        isFirst = false;
    }
    for (const auto& eviction : plan.evictions)
        evict(Job(*eviction.job), eviction.wait);
}

std::map<std::string, QueueCounters> Scheduler::queueCounters() const
{
    std::map<std::string, QueueCounters> result;
    for (const auto& [service, pool] : this->pools)
        result[service] = pool->counters;
    return result;
}

}
