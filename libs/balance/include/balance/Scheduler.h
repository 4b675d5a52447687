#pragma once

#include "balance/Job.h"
#include "balance/OwnerLookup.h"
#include "balance/Quarantine.h"
#include "balance/QueuePlan.h"
#include "balance/RetryBudget.h"
#include "balance/ServerLoad.h"
#include "fleet/Configuration.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sequoia::balance {

//! Options that are the same for all services.
struct SchedulerOptions {
    double retryRatio = 0.2; //!< retries allowed per request
    double retrySlack = 60; //!< retries allowed besides, per window
    Duration retryWindow = std::chrono::seconds(10);
    double retryShare = 1; //!< part of the slack that this scheduler may use
};

//! What became of the jobs of a service since the scheduler was created.
struct QueueCounters {
    std::uint64_t refused = 0; //!< for overload
    std::uint64_t refusedOnArrival = 0; //!< of these, those that had not waited
    std::uint64_t placedLate = 0; //!< placed, although expected to end after their targets
};

//! Decides for each job where it runs, how long it waits, and when it is refused. Does no I/O and reads no clock.
//!
//! Jobs are queued here, not at the backend servers: a server gets about as many jobs as it has slots. So the most
//! urgent job gets the next free slot, and a job that cannot meet its deadline is refused when it arrives.
class Scheduler {
public:
    Scheduler(SchedulerOptions options, const OwnerLookup& owners);
    ~Scheduler();

    void setRetryShare(double share) { this->options.retryShare = share; }
    //! Replaces the retry ratio, slack and window; the share stays.
    void setRetryOptions(const SchedulerOptions& changed);
    //! Sets the part of each server's slots that this scheduler may fill: below 1 where several schedulers decide
    //! independently.
    void setSlotShare(double share) { this->slotShare = share; }
    //! Sets the limits of cold servers. With `avoid`, cold servers get no jobs at all, since other schedulers may use
    //! them at the same time.
    void setColdLimits(const ColdLimitsByService& limits, bool avoid, TimePoint now);
    //! Makes schedulers with different seeds prefer different servers among about equal ones. Zero: no preference.
    void setSpreadSeed(std::uint64_t seed) { this->spreadSeed = seed; }
    //! Sets the one-way delay between data centres. Where it is long, jobs of services without keys stay in the data
    //! centre of their host as long as a server there is expected to answer by the target.
    void setDataCentreDistance(Duration oneWay) { this->dataCentreDistance = oneWay; }
    //! Services for which planQueue() decides who waits and who is refused.
    void setCostAwareServices(const std::set<std::string, std::less<>>& services);
    //! Replaces the known backend servers; servers that are missing from the map are removed.
    void setServers(const fleet::ServerMap& servers, TimePoint now);
    //! Places no job of the host on the server until the given time, as the server asked.
    void pauseServer(const std::string& server, std::uint64_t host, TimePoint until);
    //! Services whose servers may all not be used. Their jobs are refused at once, those that wait with the next tick.
    void setUnservedServices(std::set<std::string> services) { this->unservedServices = std::move(services); }
    //! Sets the number of jobs at a server that hosts have placed independently.
    void setOtherHostsInFlight(const std::string& server, unsigned count);

    std::vector<SchedulingDecision> submit(const Job& job, TimePoint now);
    //! Removes a waiting job.
    void withdraw(JobId job);
    //! Reports the end of a placed job.
    std::vector<SchedulingDecision> jobEnded(JobId job, JobResult result, Duration elapsed, TimePoint now,
        const std::optional<ServerReport>& report = std::nullopt);
    //! Places waiting jobs on free slots, and refuses those that can no longer meet their deadlines.
    std::vector<SchedulingDecision> tick(TimePoint now);
    //! Removes the jobs of a host that has left.
    void removeHost(std::uint64_t host, TimePoint now);

    //! Whether a job is queued here.
    bool isWaiting(JobId job) const;
    //! Server on which a job is placed; null if it is not placed.
    const std::string* placementOf(JobId job) const;
    unsigned inFlight(const std::string& server) const;
    std::size_t waitingJobs() const { return this->waiting.size(); }
    //! Measured average service time of the jobs of the service.
    Duration averageServiceTime(const std::string& service) const;
    const std::map<std::string, ServerLoad>& servers() const { return this->loads; }
    //! Jobs that have had to wait because their server was cold and had reached its limit.
    std::uint64_t jobsHeldByColdLimit() const { return this->heldByColdLimit; }
    std::map<std::string, QueueCounters> queueCounters() const;
    std::uint64_t jobsWaitingOrPlaced() const { return this->placements.size() + this->waitingJobs(); }

private:
    struct Pool;
    struct Placement {
        std::string server;
        std::string service;
        std::uint64_t fingerprint;
        TimePoint expiresAt;
        std::uint32_t workClass;
    };

    Pool& poolOf(const std::string& service);
    void applyColdLimits(ServerLoad& load, TimePoint knownSince, TimePoint now) const;
    //! Time since which all requests to a server that is new in the list are known here.
    TimePoint requestsKnownSince(const std::string& server) const;
    bool isHeldByColdLimit(const Pool& pool, const std::string& queue, TimePoint now) const;
    void applyOverdueLimit(ServerLoad& load) const;
    std::string queueNameOf(const Job& job) const;
    void requeueAfterOwnerChange(Pool& pool, TimePoint now);
    //! Whether the server still owns the key of a job in its queue.
    bool isOwnedBy(const Pool& pool, const Job& job, const std::string& server) const;
    void dispatchQueue(Pool& pool, const std::string& queue, TimePoint now, std::vector<SchedulingDecision>& decisions);
    void dispatch(Pool& pool, TimePoint now, std::vector<SchedulingDecision>& decisions);
    //! Whether planQueue() decides about the jobs of a queue. Jobs whose key is moving wait for its owner.
    bool isPlanned(const Pool& pool, const std::string& queue) const;
    bool mayHaveFreeSlot(const Pool& pool, const std::string& queue, TimePoint now) const;
    void recordArrival(Pool& pool, const std::string& queue, const Job& job, TimePoint now);
    //! Places jobs of a planned queue on free slots, and refuses those that cannot be served by their deadlines.
    void applyPlan(Pool& pool, const std::string& queue, TimePoint now, std::vector<SchedulingDecision>& decisions);
    //! Places the only job of a queue if a slot is free and there is time enough.
    bool placeSingleJob(
        Pool& pool, const std::string& queue, TimePoint now, std::vector<SchedulingDecision>& decisions);
    QueueCapacity capacityOf(Pool& pool, const std::string& queue, TimePoint now);
    std::optional<std::string> serverFor(
        const Pool& pool, const std::string& queue, const Job& job, TimePoint now) const;
    JobRefusal refusalWithReturn(Pool& pool, const std::string& queue, const Job& job, Duration wait,
        const QueueCapacity& capacity, TimePoint now);
    double spreadFactor(const std::string& server) const;
    std::optional<std::string> chooseServer(const Pool& pool, const Job& job, TimePoint now) const;
    //! Time from which a server may get a job of this host, apart from its slots.
    TimePoint earliestUse(const Pool& pool, const std::string& queue, const Job& job, TimePoint now) const;
    //! Whether a server that could run the job has asked its host for a pause.
    bool isHeldByPause(const Pool& pool, const std::string& queue, const Job& job, TimePoint now) const;
    double capacity(Pool& pool, const std::string& queue, TimePoint now) const;
    std::optional<JobRefusal> admissionRefusal(Pool& pool, const Job& job, TimePoint now);
    std::optional<JobRefusal> waitRefusal(
        Pool& pool, const std::string& queue, const Job& job, std::size_t ahead, TimePoint now) const;
    void place(Pool& pool, const Job& job, const std::string& server, TimePoint now,
        std::vector<SchedulingDecision>& decisions);

    SchedulerOptions options;
    const OwnerLookup& owners;
    Quarantine quarantine;
    std::map<std::string, std::unique_ptr<Pool>, std::less<>> pools;
    std::map<std::string, ServerLoad> loads;
    std::unordered_map<JobId, Placement, JobIdHash> placements;
    std::unordered_map<JobId, std::string, JobIdHash> waiting; //!< service by job
    TimePoint lastDeadlineCheck {};
    TimePoint lastPauseEnd {}; //!< of all pauses that servers have asked for
    Duration dataCentreDistance {};
    std::set<std::string, std::less<>> costAwareServices;
    ColdLimitsByService coldLimits;
    bool avoidCold = false;
    std::map<std::string, TimePoint> removedServers; //!< of services with limits, with the time of their removal
    std::uint64_t heldByColdLimit = 0;
    bool hasPlacedJobs = false;
    std::optional<TimePoint> firstServersAt; //!< jobs placed before then are not known here
    std::set<std::string> unservedServices;
    double slotShare = 1;
    std::uint64_t spreadSeed = 0;
};

}
