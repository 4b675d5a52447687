#pragma once

#include "balance/QueuePlan.h"
#include "balance/ReturnSchedule.h"
#include "balance/Scheduler.h"

#include <cmath>

namespace sequoia::balance {

// Assumed average until the first answers of a service arrive.
inline constexpr Duration initialServiceTime = std::chrono::milliseconds(150);
// Waiting jobs are checked against their deadlines this often.
inline constexpr Duration deadlineCheckInterval = std::chrono::milliseconds(50);
// Name of the queue of jobs whose key is moving, and of all jobs of unkeyed services.
inline const std::string queueWithoutOwner;

//! Work that arriving jobs need, as a moving average over about a second.
class ArrivalLoad {
public:
    void record(Duration work, TimePoint now)
    {
        this->value = this->jobsInParallel(now) + static_cast<double>(work.count()) / averagingTimeMicros;
        this->lastUpdate = now;
    }
    //! Number of jobs that have to run in parallel to keep up with the arrivals.
    double jobsInParallel(TimePoint now) const
    {
        return this->value * std::exp(-static_cast<double>((now - this->lastUpdate).count()) / averagingTimeMicros);
    }

private:
    static constexpr double averagingTimeMicros = 1e6;

    double value = 0;
    TimePoint lastUpdate {};
};

//! State of a queue that planQueue() orders. A new coordinator starts without it, which only costs precision.
struct QueueState {
    unsigned urgentStarts = 0;
    ReturnSchedule returns;
    ArrivalLoad arrivals; //!< jobs that can meet their targets
};

//! Waiting jobs, servers and measurements of one service.
struct Scheduler::Pool {
    struct Rank {
        std::uint32_t priority;
        TimePoint target;
        JobId id;

        bool operator<(const Rank& other) const
        {
            return std::tie(this->priority, this->target, this->id) < std::tie(other.priority, other.target, other.id);
        }
    };
    using Queue = std::map<Rank, Job>;

    std::string service;
    bool keyed = false;
    //! By owner for keyed services; jobs whose key is moving and jobs of unkeyed services are in queueWithoutOwner.
    std::map<std::string, Queue> queues;
    std::uint64_t ownerVersion = 0; //!< for which the jobs were queued
    TimePoint requeuedAt {};
    std::vector<ServerLoad*> members;
    //! Jobs that all servers together finish per average service time; cached, since every arrival needs it.
    double effectiveSlots = 0;
    TimePoint effectiveSlotsTime {};
    double averageServiceMicros = static_cast<double>(initialServiceTime.count());
    RetryBudget budget;
    //! Callers of different priority compete for the servers, so that planQueue() decides who is served.
    bool costAware = false;
    WorkEstimates work;
    QueueCounters counters;
    std::map<std::string, QueueState> states; //!< by queue

    Pool(std::string name, const SchedulerOptions& options)
        : service(std::move(name))
        , budget(options.retryWindow, options.retryRatio, options.retrySlack)
    {
    }

    Duration averageServiceTime() const { return Duration(static_cast<std::int64_t>(this->averageServiceMicros)); }
    static Rank rankOf(const Job& job) { return { job.priority, job.target, job.id }; }

    //! Number of jobs that are placed before the one of this rank: jobs that meet their targets go before late ones.
    static std::size_t countAhead(const Queue& queue, const Rank& rank, TimePoint finish)
    {
        bool late = rank.target < finish;
        std::size_t ahead = 0;
        for (const auto& [other, job] : queue) {
            bool otherLate = other.target < finish;
            if (late != otherLate ? late : other < rank)
                ++ahead;
        }
        return ahead;
    }
};

}
