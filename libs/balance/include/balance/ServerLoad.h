#pragma once

#include "balance/ColdRateLimiter.h"
#include "balance/Job.h"
#include "balance/ServerPace.h"
#include "balance/ServerReport.h"
#include "fleet/ServerEntry.h"

#include <map>
#include <optional>
#include <string>

namespace sequoia::balance {

//! Load, speed and health of one backend server. Speed and health are measured on its answers only, since health checks
//! are misleading and take slots.
class ServerLoad {
public:
    static constexpr double noOverdueLimit = 1e9;

    explicit ServerLoad(fleet::ServerEntry entry, TimePoint now);

    void update(const fleet::ServerEntry& entry, TimePoint now);
    //! Bounds the slowness that overdue jobs alone show, relative to the measured one. After a takeover jobs are
    //! overdue because they wait at the server behind jobs of hosts that placed them on their own.
    void setOverdueLimit(double limit) { this->overdueLimit = limit; }
    //! Sets the limits for the time while the server is cold; see ColdRateLimiter for `knownSince`.
    void setColdLimits(const ColdLimits& limits, TimePoint knownSince, TimePoint now);
    //! Limits the requests of a server that is new until its entry must show whether it is cold.
    void assumeColdAtStart(TimePoint now);
    //! Whether the server is cold, or may be, so that its requests are limited.
    bool isCold(TimePoint now) const;
    //! Whether the server may get no request now since it is cold.
    bool isHeldByColdLimit(TimePoint now) const { return this->isCold(now) && !this->coldLimiter->mayStart(now); }
    //! Most requests per second that the server may get now; zero if they are not limited.
    double coldRate(TimePoint now) const
    {
        return this->isCold(now) ? this->coldLimiter->limits().requestsPerSecond : 0;
    }
    void setOtherHostsInFlight(unsigned count) { this->otherHostsInFlight = count; }

    void jobPlaced(JobId job, TimePoint now);
    //! Time for which the server worked on a placed job, without the time that the job waited there for a slot.
    Duration serviceTime(JobId job, Duration elapsed, TimePoint now) const;
    //! `elapsed` is the service time of the job, `averageServiceTime` the average of the service.
    void jobEnded(JobId job, JobResult result, Duration elapsed, Duration averageServiceTime, TimePoint now);
    //! Takes the load that the server stated in its response to a job, before the end of the job is reported.
    void recordReport(const ServerReport& report, TimePoint now);
    bool hasJob(JobId job) const { return this->jobs.contains(job); }

    const fleet::ServerEntry& entry() const { return this->serverEntry; }
    unsigned inFlight() const { return static_cast<unsigned>(this->jobs.size()) + this->otherHostsInFlight; }
    //! Whether a job may be sent now. `extra` is the number of jobs allowed beyond the slots, `share` the part of both
    //! that may be used.
    bool hasFreeSlot(unsigned extra, double share, TimePoint now) const;
    bool isUsable(TimePoint now) const;
    //! Jobs that the server finishes per average service time; zero while it is not usable.
    double jobsPerServiceTime(Duration averageServiceTime, TimePoint now) const;
    //! Records that the server wants no job from a host until a time.
    void pauseFor(std::uint64_t host, TimePoint until);
    //! End of the pause that the server asked a host for; in the past if there is none.
    TimePoint pausedUntil(std::uint64_t host) const;
    TimePoint usableAt() const { return this->suspendedUntil; }

    //! Expected service time of a job relative to the average of the service; above 1 is slower.
    double slowness(Duration averageServiceTime, TimePoint now) const;
    //! The same without the pace of the moment, for decisions that last longer.
    double steadySlowness(Duration averageServiceTime, TimePoint now) const;
    //! Moving average of the share of jobs that were rejected or failed.
    double failureRate(TimePoint now) const;
    //! Whether the host has used this server recently, so that it probably has an open connection to it.
    bool usedRecently(std::uint64_t host, TimePoint now) const;

private:
    void suspend(Duration time, TimePoint now);
    void assumeCold(Duration time, TimePoint now);
    void assumeColdAfterLoss(TimePoint now);
    Duration coldTimeOfEntry() const;
    //! Weight of the measurements, which decays from 1 to 0 after the last one.
    double sampleWeight(TimePoint now) const;

    fleet::ServerEntry serverEntry;
    struct PlacedJob {
        TimePoint start; //!< estimated start of the work on the job
        bool queued = false; //!< all slots were taken, so that the job waits at the server
        bool wasQueued = false; //!< the job has waited at the server before
        double coldTokens = 0; //!< taken from the limiter for the job
        double pace = 1; //!< expected when the work on the job started
    };

    void startQueued(TimePoint now);
    void updateSlowness(Duration averageServiceTime, TimePoint now) const;

    std::map<JobId, PlacedJob> jobs;
    unsigned otherHostsInFlight = 0;
    double overdueLimit = noOverdueLimit;
    double relativeServiceTime = 1;
    double averageFailures = 0;
    unsigned consecutiveFailures = 0;
    TimePoint warmUpEnd {};
    TimePoint suspendedUntil {};
    std::optional<ColdRateLimiter> coldLimiter; //!< null if the service has no limits
    TimePoint coldUntil {};
    TimePoint knownSince {};
    TimePoint lastAnswer {};
    TimePoint lastSample {};
    std::map<std::uint64_t, TimePoint> lastUse; //!< by host
    std::map<std::uint64_t, TimePoint> pauses; //!< by host
    ServerPace pace;
    unsigned foreignJobs = 0; //!< stated by the server and unknown here
    TimePoint foreignJobsAt {};
    //! Cached results of slowness() and steadySlowness(), which are called for every server at each placement.
    mutable TimePoint slownessTime {};
    mutable double slownessValue = 1;
    mutable double steadySlownessValue = 1;
};

}
