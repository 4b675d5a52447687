#pragma once

#include "balance/ColdRateLimiter.h"
#include "balance/Job.h"
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
    //! Sets the limits for the time while the server is cold; see ColdRateLimiter for `ownsHistory`.
    void setColdLimits(const ColdLimits& limits, bool ownsHistory, TimePoint now);
    //! Bounds the slowness that overdue jobs alone show, relative to the measured one. After a takeover jobs are
    //! overdue because they wait at the server behind jobs of hosts that placed them on their own.
    void setOverdueLimit(double limit) { this->overdueLimit = limit; }
    //! Whether the server is cold, or may be, so that its requests are limited.
    bool isCold(TimePoint now) const { return this->coldLimiter && now < this->coldUntil; }
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
    bool hasJob(JobId job) const { return this->jobs.contains(job); }

    const fleet::ServerEntry& entry() const { return this->serverEntry; }
    unsigned inFlight() const { return static_cast<unsigned>(this->jobs.size()) + this->otherHostsInFlight; }
    //! Whether a job may be sent now. `extra` is the number of jobs allowed beyond the slots, `share` the part of both
    //! that may be used.
    bool hasFreeSlot(unsigned extra, double share, TimePoint now) const;
    bool isUsable(TimePoint now) const;
    //! Records that the server wants no job from a host until a time.
    void pauseFor(std::uint64_t host, TimePoint until);
    //! End of the pause that the server asked a host for; in the past if there is none.
    TimePoint pausedUntil(std::uint64_t host) const;
    TimePoint usableAt() const { return this->suspendedUntil; }

    //! Expected service time of a job relative to the average of the service; above 1 is slower.
    double slowness(Duration averageServiceTime, TimePoint now) const;
    //! Moving average of the share of jobs that were rejected or failed.
    double failureRate(TimePoint now) const;
    //! Whether the host has used this server recently, so that it probably has an open connection to it.
    bool usedRecently(std::uint64_t host, TimePoint now) const;

private:
    void suspend(Duration time, TimePoint now);
    void assumeCold(TimePoint now);
    void updateColdUntil(TimePoint now);
    //! Weight of the measurements, which decays from 1 to 0 after the last one.
    double sampleWeight(TimePoint now) const;

    fleet::ServerEntry serverEntry;
    struct PlacedJob {
        TimePoint start; //!< estimated start of the work on the job
        bool queued = false; //!< all slots were taken, so that the job waits at the server
        bool wasQueued = false; //!< the job has waited at the server before
    };

    void startQueued(TimePoint now);

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
    TimePoint lastAnswer {};
    TimePoint lastSample {};
    std::map<std::uint64_t, TimePoint> lastUse; //!< by host
    std::map<std::uint64_t, TimePoint> pauses; //!< by host
    //! Cached result of slowness(), which is called for every server at each placement.
    mutable TimePoint slownessTime {};
    mutable double slownessValue = 1;
};

}
