#include "SchedulerPool.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <functional>
#include <tuple>

namespace sequoia::balance {

namespace {

// Weight of the newest answer in the moving average of the service time, which reflects about fifty answers.
constexpr double newestSampleWeight = 0.02;
// Jobs that a server gets beyond its slots, so that it can start the next one without a round trip.
constexpr unsigned extraJobsKeyed = 1;
constexpr unsigned extraJobsUnkeyed = 0;
// Cost of a new connection and of a call to another data centre, relative to the service time: about a millisecond and
// the bytes, which is less than the variation between equal servers.
constexpr double newConnectionFactor = 1.15;
constexpr double otherDataCentreFactor = 1.08;
// Data centres further apart than this (one way) are connected by links that callers' data should not cross needlessly.
constexpr Duration farDataCentreDistance = std::chrono::milliseconds(3);
// A server answers by the target with good probability if this many times its expected service time is left.
constexpr double serviceTimeMargin = 1.5;
// Largest preference among equal servers by the spread seed; more than the preference for the own data centre.
constexpr double maxSpread = 0.3;
// Servers whose cost, which is mainly their slowness, exceeds this get only jobs that they can finish by the target.
constexpr double slowServerFactor = 3;
// A placed job whose end is not reported is dropped this long after its deadline.
constexpr Duration missingReportTimeout = std::chrono::milliseconds(500);

// With more waiting jobs than this, they are queued anew after changes of owners at this interval.
constexpr std::size_t jobsRequeuedAtOnce = 100;
constexpr Duration requeueInterval = std::chrono::milliseconds(20);

bool isRefused(JobId job, const std::vector<SchedulingDecision>& decisions)
{
    return std::any_of(decisions.begin(), decisions.end(), [&](const SchedulingDecision& decision) {
        const auto* refusal = std::get_if<JobRefusal>(&decision);
        return refusal && refusal->job == job;
    });
}

}

Scheduler::Scheduler(SchedulerOptions schedulerOptions, const OwnerLookup& lookup)
    : options(schedulerOptions)
    , owners(lookup)
{
}

Scheduler::~Scheduler() = default;

void Scheduler::setRetryOptions(const SchedulerOptions& changed)
{
    auto share = this->options.retryShare;
    this->options = changed;
    this->options.retryShare = share;
    for (auto& [service, pool] : this->pools)
        pool->budget.setLimits(changed.retryWindow, changed.retryRatio, changed.retrySlack);
}

Scheduler::Pool& Scheduler::poolOf(const std::string& service)
{
    auto& pool = this->pools[service];
    if (!pool) {
        pool = std::make_unique<Pool>(service, this->options);
        pool->costAware = this->costAwareServices.contains(service);
        for (auto& [id, load] : this->loads) {
            if (load.entry().service == service)
                pool->members.push_back(&load);
        }
    }
    return *pool;
}

void Scheduler::setServers(const fleet::ServerMap& servers, TimePoint now)
{
    std::erase_if(this->loads, [&](const auto& entry) {
        bool removed = !servers.contains(entry.first);
        if (removed && this->coldLimits.contains(entry.second.entry().service))
            this->removedServers[entry.first] = now;
        return removed;
    });
    std::erase_if(
        this->removedServers, [&](const auto& entry) { return now - entry.second > ColdRateLimiter::window; });
    bool isFirstList = !this->firstServersAt;
    this->firstServersAt = this->firstServersAt.value_or(now);
    for (const auto& [id, entry] : servers) {
        auto [found, added] = this->loads.try_emplace(id, entry, now);
        this->applyOverdueLimit(found->second);
        this->applyColdLimits(found->second, added ? this->requestsKnownSince(id) : now, now);
        bool restarted = found->second.entry().instance != entry.instance;
        if (restarted)
            this->quarantine.recordCrash(id, now);
        if (!added)
            found->second.update(entry, now);
        // A host that avoids cold servers does not know whether others place jobs.
        if ((this->hasPlacedJobs || this->avoidCold) && (restarted || (added && !isFirstList)))
            found->second.assumeColdAtStart(now);
    }
    for (auto& [service, pool] : this->pools) {
        std::erase_if(pool->states,
            [&](const auto& entry) { return entry.first != queueWithoutOwner && !servers.contains(entry.first); });
        pool->members.clear();
        pool->effectiveSlotsTime = {};
        for (auto& [id, load] : this->loads) {
            if (load.entry().service == service)
                pool->members.push_back(&load);
        }
    }
}

void Scheduler::setColdLimits(const ColdLimitsByService& limits, bool avoid, TimePoint now)
{
    this->coldLimits = limits;
    this->avoidCold = avoid;
    for (auto& [id, load] : this->loads)
        this->applyColdLimits(load, now, now);
}

void Scheduler::applyColdLimits(ServerLoad& load, TimePoint knownSince, TimePoint now) const
{
    auto found = this->coldLimits.find(load.entry().service);
    auto limits = found == this->coldLimits.end() ? ColdLimits {} : found->second;
    limits.avoid = this->avoidCold;
    load.setColdLimits(limits, knownSince, now);
}

// A server that is missing from one list only, as after a reading error, has had requests shortly before.
TimePoint Scheduler::requestsKnownSince(const std::string& server) const
{
    auto removed = this->removedServers.find(server);
    auto since = this->firstServersAt.value_or(TimePoint());
    return removed == this->removedServers.end() ? since : std::max(since, removed->second);
}

bool Scheduler::isHeldByColdLimit(const Pool& pool, const std::string& name, TimePoint now) const
{
    return !this->coldLimits.empty()
        && std::any_of(pool.members.begin(), pool.members.end(), [&](const ServerLoad* load) {
               return (!pool.keyed || load->entry().instance.id == name) && load->isHeldByColdLimit(now);
           });
}

void Scheduler::setOtherHostsInFlight(const std::string& server, unsigned count)
{
    auto found = this->loads.find(server);
    if (found != this->loads.end())
        found->second.setOtherHostsInFlight(count);
}

void Scheduler::pauseServer(const std::string& server, std::uint64_t host, TimePoint until)
{
    auto found = this->loads.find(server);
    if (found == this->loads.end())
        return;
    found->second.pauseFor(host, until);
    this->lastPauseEnd = std::max(this->lastPauseEnd, until);
}

std::string Scheduler::queueNameOf(const Job& job) const
{
    if (!job.key)
        return queueWithoutOwner;
    auto owner = this->owners.ownerOf(job.service, *job.key);
    return owner.ownership == Ownership::Owned ? owner.server : queueWithoutOwner;
}

// After a takeover each of hundreds of grants changes the owners, while all jobs of the last seconds wait.
void Scheduler::requeueAfterOwnerChange(Pool& pool, TimePoint now)
{
    if (!pool.keyed || pool.ownerVersion == this->owners.ownerVersion())
        return;
    if (this->waiting.size() > jobsRequeuedAtOnce && now - pool.requeuedAt < requeueInterval)
        return;
    pool.ownerVersion = this->owners.ownerVersion();
    pool.requeuedAt = now;
    auto queues = std::move(pool.queues);
    pool.queues.clear();
    for (auto& [name, queue] : queues) {
        for (auto& [rank, job] : queue)
            pool.queues[this->queueNameOf(job)].emplace(rank, std::move(job));
    }
}

bool Scheduler::isOwnedBy(const Pool& pool, const Job& job, const std::string& server) const
{
    return pool.ownerVersion == this->owners.ownerVersion() || this->queueNameOf(job) == server;
}

std::vector<SchedulingDecision> Scheduler::submit(const Job& job, TimePoint now)
{
    std::vector<SchedulingDecision> decisions;
    auto& pool = this->poolOf(job.service);
    pool.keyed = pool.keyed || job.key.has_value();
    this->requeueAfterOwnerChange(pool, now);
    if (auto refusal = this->admissionRefusal(pool, job, now)) {
        decisions.emplace_back(*refusal);
        return decisions;
    }
    auto name = this->queueNameOf(job);
    auto& queue = pool.queues[name];
    auto rank = Pool::rankOf(job);
    auto position = queue.emplace(rank, job).first;
    this->waiting[job.id] = job.service;
    if (this->isPlanned(pool, name)) {
        this->recordArrival(pool, name, job, now);
        this->applyPlan(pool, name, now, decisions);
        pool.counters.refusedOnArrival += isRefused(job.id, decisions) ? 1 : 0;
        return decisions;
    }
    this->dispatchQueue(pool, name, now, decisions);
    // A job that is still waiting is refused at once if it cannot meet its deadline.
    position = queue.find(rank);
    if (position != queue.end()) {
        if (this->isHeldByColdLimit(pool, name, now))
            ++this->heldByColdLimit;
        auto ahead = Pool::countAhead(queue, rank, now + pool.averageServiceTime());
        if (auto refusal = this->waitRefusal(pool, name, job, ahead, now)) {
            queue.erase(position);
            this->waiting.erase(job.id);
            ++pool.counters.refused;
            ++pool.counters.refusedOnArrival;
            decisions.emplace_back(*refusal);
        }
    }
    return decisions;
}

void Scheduler::withdraw(JobId job)
{
    auto found = this->waiting.find(job);
    if (found == this->waiting.end())
        return;
    for (auto& [name, queue] : this->poolOf(found->second).queues) {
        if (std::erase_if(queue, [&](const auto& entry) { return entry.first.id == job; }) > 0)
            break;
    }
    this->waiting.erase(found);
}

std::vector<SchedulingDecision> Scheduler::jobEnded(
    JobId job, JobResult result, Duration elapsed, TimePoint now, const std::optional<ServerReport>& report)
{
    std::vector<SchedulingDecision> decisions;
    auto found = this->placements.find(job);
    if (found == this->placements.end())
        return decisions;
    auto placement = std::move(found->second);
    this->placements.erase(found);
    auto& pool = this->poolOf(placement.service);
    auto load = this->loads.find(placement.server);
    if (load != this->loads.end()) {
        elapsed = load->second.serviceTime(job, elapsed, now);
        if (result == JobResult::Answered) {
            double sample = static_cast<double>(elapsed.count());
            pool.averageServiceMicros += newestSampleWeight * (sample - pool.averageServiceMicros);
            if (pool.costAware)
                pool.work.record(placement.workClass, elapsed);
        }
        // A server that has started anew since does not have the job, and the report is not about it.
        if (report && load->second.hasJob(job))
            load->second.recordReport(*report, now);
        auto average = pool.costAware ? pool.work.mean(placement.workClass) : pool.averageServiceTime();
        load->second.jobEnded(job, result, elapsed, average, now);
    }
    if (result == JobResult::Lost)
        this->quarantine.recordLoss(placement.fingerprint, placement.server, now);
    if (result == JobResult::ConnectFailed)
        this->quarantine.recordCrash(placement.server, now);
    this->requeueAfterOwnerChange(pool, now);
    // Only this server has a slot that was not free before.
    this->dispatchQueue(pool, pool.keyed ? placement.server : queueWithoutOwner, now, decisions);
    return decisions;
}

std::vector<SchedulingDecision> Scheduler::tick(TimePoint now)
{
    std::vector<SchedulingDecision> decisions;
    for (auto& [service, pool] : this->pools)
        this->dispatch(*pool, now, decisions);
    if (now - this->lastDeadlineCheck < deadlineCheckInterval)
        return decisions;
    this->lastDeadlineCheck = now;
    this->quarantine.removeExpired(now);
    for (auto& [service, pool] : this->pools) {
        for (auto& [name, queue] : pool->queues) {
            if (this->isPlanned(*pool, name)) {
                this->applyPlan(*pool, name, now, decisions);
                continue;
            }
            auto finish = now + pool->averageServiceTime();
            auto onTime = static_cast<std::size_t>(std::count_if(
                queue.begin(), queue.end(), [&](const auto& entry) { return entry.first.target >= finish; }));
            std::size_t onTimeAhead = 0;
            std::size_t lateAhead = 0;
            for (auto entry = queue.begin(); entry != queue.end();) {
                bool late = entry->first.target < finish;
                auto ahead = late ? onTime + lateAhead : onTimeAhead;
                auto refusal = this->waitRefusal(*pool, name, entry->second, ahead, now);
                if (!refusal) {
                    ++(late ? lateAhead : onTimeAhead);
                    ++entry;
                    continue;
                }
                ++pool->counters.refused;
                decisions.emplace_back(*refusal);
                this->waiting.erase(entry->first.id);
                entry = queue.erase(entry);
            }
        }
        std::erase_if(pool->queues, [](const auto& entry) { return entry.second.empty(); });
    }
    for (auto entry = this->placements.begin(); entry != this->placements.end();) {
        auto next = std::next(entry);
        if (now > entry->second.expiresAt) {
            auto load = this->loads.find(entry->second.server);
            if (load != this->loads.end())
                load->second.jobEnded(entry->first, JobResult::Abandoned, {}, {}, now);
            this->placements.erase(entry);
        }
        entry = next;
    }
    return decisions;
}

void Scheduler::removeHost(std::uint64_t host, TimePoint now)
{
    for (auto& [service, pool] : this->pools) {
        for (auto& [name, queue] : pool->queues)
            std::erase_if(queue, [&](const auto& entry) { return entry.first.id.host == host; });
    }
    std::erase_if(this->waiting, [&](const auto& entry) { return entry.first.host == host; });
    for (auto entry = this->placements.begin(); entry != this->placements.end();) {
        auto next = std::next(entry);
        if (entry->first.host == host) {
            auto load = this->loads.find(entry->second.server);
            if (load != this->loads.end())
                load->second.jobEnded(entry->first, JobResult::Abandoned, {}, {}, now);
            this->placements.erase(entry);
        }
        entry = next;
    }
}

void Scheduler::dispatch(Pool& pool, TimePoint now, std::vector<SchedulingDecision>& decisions)
{
    this->requeueAfterOwnerChange(pool, now);
    for (auto& [name, queue] : pool.queues)
        this->dispatchQueue(pool, name, now, decisions);
}

void Scheduler::dispatchQueue(
    Pool& pool, const std::string& name, TimePoint now, std::vector<SchedulingDecision>& decisions)
{
    auto found = pool.queues.find(name);
    if (found == pool.queues.end() || found->second.empty())
        return;
    if (this->isPlanned(pool, name)) {
        if (this->mayHaveFreeSlot(pool, name, now))
            this->applyPlan(pool, name, now, decisions);
        return;
    }
    auto& queue = found->second;
    auto finish = now + pool.averageServiceTime();
    // Jobs that can still meet their target go first; late ones get the remaining slots.
    for (bool onTime : { true, false }) {
        for (auto entry = queue.begin(); entry != queue.end();) {
            const auto& job = entry->second;
            if (onTime && finish > job.target) {
                ++entry;
                continue;
            }
            std::optional<std::string> server;
            if (!pool.keyed)
                server = this->chooseServer(pool, job, now);
            else if (!name.empty() && this->isOwnedBy(pool, job, name)) {
                auto load = this->loads.find(name);
                if (load != this->loads.end() && load->second.hasFreeSlot(extraJobsKeyed, this->slotShare, now)
                    && now >= load->second.pausedUntil(job.id.host))
                    server = name;
            }
            if (!server) {
                // A job that may go to any server finds no slot, so there is seldom one for the rest.
                if (job.tried.empty() && !this->isHeldByPause(pool, name, job, now))
                    break;
                ++entry;
                continue;
            }
            this->place(pool, job, *server, now, decisions);
            this->waiting.erase(job.id);
            entry = queue.erase(entry);
        }
    }
}

// Many hosts that decide independently would all send their first jobs to the same server.
double Scheduler::spreadFactor(const std::string& server) const
{
    if (this->spreadSeed == 0)
        return 1;
    auto mixed = (std::hash<std::string> {}(server) ^ this->spreadSeed) * 0x9E3779B97F4A7C15U;
    return 1 + maxSpread * static_cast<double>(mixed >> 32U) / 4294967296.0;
}

std::optional<std::string> Scheduler::chooseServer(const Pool& pool, const Job& job, TimePoint now) const
{
    const ServerLoad* best = nullptr;
    double bestCost = 0;
    const ServerLoad* nearest
        = nullptr; // the best one in the job's data centre that is expected to answer by the target
    double nearestCost = 0;
    bool preferNear = this->dataCentreDistance > farDataCentreDistance;
    double averageMicros = pool.averageServiceMicros;
    for (const auto* member : pool.members) {
        const auto& load = *member;
        if (!load.hasFreeSlot(extraJobsUnkeyed, this->slotShare, now))
            continue;
        if (now < load.pausedUntil(job.id.host))
            continue;
        const auto& id = load.entry().instance.id;
        if (std::find(job.tried.begin(), job.tried.end(), id) != job.tried.end())
            continue;
        double utilization = static_cast<double>(load.inFlight()) / load.entry().slots;
        // Some servers are slower when most of their slots are taken.
        double slowness = load.slowness(pool.averageServiceTime(), now);
        double steady = load.steadySlowness(pool.averageServiceTime(), now);
        double cost = slowness * (1 + 0.2 * utilization) / std::max(0.05, 1 - load.failureRate(now));
        // Among about equal servers, prefers one with an open connection, then one in the same data centre.
        if (!load.usedRecently(job.id.host, now))
            cost *= newConnectionFactor;
        if (load.entry().dataCentre != job.dataCentre)
            cost *= otherDataCentreFactor;
        cost *= this->spreadFactor(id);
        // Waiting for another server is better than a slow one that would make the job late. One that is slow only for
        // the moment, as it states itself, still makes progress.
        double expectedMicros = averageMicros * slowness;
        if (cost * (steady / slowness) > slowServerFactor
            && now + Duration(static_cast<std::int64_t>(averageMicros * steady)) > job.target)
            continue;
        if (!best || cost < bestCost) {
            best = member;
            bestCost = cost;
        }
        if (!preferNear || load.entry().dataCentre != job.dataCentre || (nearest && cost >= nearestCost))
            continue;
        if (now + Duration(static_cast<std::int64_t>(expectedMicros * serviceTimeMargin)) <= job.target) {
            nearest = member;
            nearestCost = cost;
        }
    }
    if (nearest)
        best = nearest;
    return best ? std::optional(best->entry().instance.id) : std::nullopt;
}

void Scheduler::place(
    Pool& pool, const Job& job, const std::string& server, TimePoint now, std::vector<SchedulingDecision>& decisions)
{
    auto expected = pool.costAware ? pool.work.mean(job.workClass) : pool.averageServiceTime();
    pool.counters.placedLate += now + expected > job.target ? 1 : 0;
    this->loads.at(server).jobPlaced(job.id, now);
    this->hasPlacedJobs = true;
    this->placements[job.id]
        = { server, pool.service, job.fingerprint, job.deadline + missingReportTimeout, job.workClass };
    decisions.emplace_back(JobPlacement { job.id, server });
}

bool Scheduler::isWaiting(JobId job) const
{
    return this->waiting.contains(job);
}

const std::string* Scheduler::placementOf(JobId job) const
{
    auto found = this->placements.find(job);
    return found == this->placements.end() ? nullptr : &found->second.server;
}

unsigned Scheduler::inFlight(const std::string& server) const
{
    auto found = this->loads.find(server);
    return found == this->loads.end() ? 0 : found->second.inFlight();
}

Duration Scheduler::averageServiceTime(const std::string& service) const
{
    auto found = this->pools.find(service);
    return found == this->pools.end() ? initialServiceTime : found->second->averageServiceTime();
}

}
