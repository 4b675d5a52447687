#include "SchedulerPool.h"

#include <algorithm>
#include <cmath>

// The part of Scheduler that estimates capacity and refuses jobs, for services in which no priorities compete.

namespace sequoia::balance {

namespace {

// A job that would have less time than this many average service times is not worth starting.
constexpr double minRemainingServiceTimes = 1.0;
// Bounds of Retry-After: callers wait at most a third of the time left until their deadline.
constexpr Duration minRetryAfter = std::chrono::milliseconds(100);
constexpr double maxRetryAfterFraction = 1.0 / 3;

}

std::optional<JobRefusal> Scheduler::admissionRefusal(Pool& pool, const Job& job, TimePoint now)
{
    auto timeLeft = std::max(Duration::zero(), job.deadline - now);
    auto maxRetryAfter
        = Duration(static_cast<std::int64_t>(static_cast<double>(timeLeft.count()) * maxRetryAfterFraction));
    if (this->quarantine.isQuarantined(job.fingerprint))
        return JobRefusal { job.id, RefusalReason::Quarantined, maxRetryAfter };
    if (this->unservedServices.contains(job.service))
        return JobRefusal { job.id, RefusalReason::NoServer, maxRetryAfter };
    if (job.attempt == 0)
        pool.budget.recordRequest(now);
    else if (!pool.budget.tryAcquire(now, this->options.retryShare))
        return JobRefusal { job.id, RefusalReason::RetryBudget, maxRetryAfter };
    if (job.key) {
        if (this->owners.ownerOf(job.service, *job.key).ownership == Ownership::Unowned)
            return JobRefusal { job.id, RefusalReason::NoOwner, maxRetryAfter };
        return std::nullopt;
    }
    bool anyReady = std::any_of(pool.members.begin(), pool.members.end(),
        [](const ServerLoad* load) { return load->entry().state == fleet::ServerState::Ready; });
    if (!anyReady)
        return JobRefusal { job.id, RefusalReason::NoServer, maxRetryAfter };
    return std::nullopt;
}

bool Scheduler::isHeldByPause(const Pool& pool, const std::string& name, const Job& job, TimePoint now) const
{
    if (now >= this->lastPauseEnd)
        return false;
    return std::any_of(pool.members.begin(), pool.members.end(), [&](const ServerLoad* load) {
        return (!pool.keyed || load->entry().instance.id == name) && now < load->pausedUntil(job.id.host);
    });
}

TimePoint Scheduler::earliestUse(const Pool& pool, const std::string& name, const Job& job, TimePoint now) const
{
    if (now >= this->lastPauseEnd)
        return now;
    if (pool.keyed) {
        auto load = this->loads.find(name);
        return load == this->loads.end() ? now : std::max(now, load->second.pausedUntil(job.id.host));
    }
    std::optional<TimePoint> earliest;
    for (const auto* load : pool.members) {
        if (load->entry().state != fleet::ServerState::Ready)
            continue;
        auto usable = std::max(now, load->pausedUntil(job.id.host));
        earliest = earliest ? std::min(*earliest, usable) : usable;
    }
    return earliest.value_or(now);
}

double Scheduler::capacity(Pool& pool, const std::string& name, TimePoint now) const
{
    if (pool.keyed) {
        auto load = this->loads.find(name);
        return load == this->loads.end() ? 0 : load->second.jobsPerServiceTime(pool.averageServiceTime(), now);
    }
    if (now - pool.effectiveSlotsTime < deadlineCheckInterval)
        return pool.effectiveSlots;
    pool.effectiveSlotsTime = now;
    pool.effectiveSlots = 0;
    for (const auto* load : pool.members)
        pool.effectiveSlots += load->jobsPerServiceTime(pool.averageServiceTime(), now);
    return pool.effectiveSlots;
}

std::optional<JobRefusal> Scheduler::waitRefusal(
    Pool& pool, const std::string& name, const Job& job, std::size_t ahead, TimePoint now) const
{
    double maxRetryAfterMicros
        = static_cast<double>(std::max(Duration::zero(), job.deadline - now).count()) * maxRetryAfterFraction;
    if (this->unservedServices.contains(pool.service))
        return JobRefusal { job.id, RefusalReason::NoServer,
            std::max(minRetryAfter, Duration(static_cast<std::int64_t>(maxRetryAfterMicros))) };
    double averageMicros = pool.averageServiceMicros;
    double slots = this->capacity(pool, name, now);
    double serviceMicros = averageMicros;
    if (pool.keyed && !name.empty()) {
        auto load = this->loads.find(name);
        if (load != this->loads.end())
            serviceMicros *= load->second.steadySlowness(pool.averageServiceTime(), now);
    }
    double waitMicros = 0;
    if (pool.keyed && name.empty())
        waitMicros = 0; // the key is moving, for an unknown time
    else if (slots <= 0)
        waitMicros = averageMicros;
    else
        waitMicros = averageMicros * static_cast<double>(ahead + 1) / slots;
    auto pause = this->earliestUse(pool, name, job, now) - now;
    waitMicros = std::max(waitMicros, static_cast<double>(pause.count()));
    auto finish = now + Duration(static_cast<std::int64_t>(waitMicros + serviceMicros * minRemainingServiceTimes));
    if (finish <= job.deadline)
        return std::nullopt;
    double retryAfterMicros = std::clamp(waitMicros, static_cast<double>(minRetryAfter.count()),
        std::max(maxRetryAfterMicros, static_cast<double>(minRetryAfter.count())));
    return JobRefusal { job.id, RefusalReason::Overloaded, Duration(static_cast<std::int64_t>(retryAfterMicros)) };
}

}
