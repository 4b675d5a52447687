#include "balance/ServerLoad.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sequoia::balance {

namespace {

// Weight of the newest answer in the moving averages, which reflect about ten answers.
constexpr double newestSampleWeight = 0.1;
// Factor by which a backend server is slower during its warm-up (the platform's cold factor).
constexpr double coldFactor = 2;
// A job that is this many times older than expected shows that the server has become slow, before an answer arrives.
constexpr double overdueFactor = 3;
// Suspension after a connection failed or was lost; doubles with each consecutive failure.
constexpr Duration initialSuspension = std::chrono::milliseconds(150);
constexpr Duration maxSuspension = std::chrono::milliseconds(1500);
// Suspension after a rejection: the queue of the server stays full for about a service time.
constexpr Duration rejectionSuspension = std::chrono::milliseconds(30);
// Hosts close connections that have been idle for about this time.
constexpr Duration connectionIdleTimeout = std::chrono::seconds(7);
// Suspension of a server whose address another server has, or which has not received its key lease yet; doubles with
// each consecutive failure.
constexpr Duration wrongOwnerSuspension = std::chrono::milliseconds(25);
// Consecutive losses that suspend a server; a single one may be caused by the request.
constexpr unsigned suspensionThreshold = 2;
constexpr double maxRelativeServiceTime = 20;
// A refused connection shows that the server is down only if it has not answered any host for this time. Otherwise the
// network of the host that reports it may be at fault.
constexpr Duration answerValidity = std::chrono::milliseconds(500);
// An entry shows within this time that its server is cold: servers write it every 0.87 s, hosts read it every 0.8 s.
constexpr Duration entryDelay = std::chrono::seconds(2);
// Jobs of others that a server states count for this time, about one job.
constexpr Duration reportValidity = std::chrono::milliseconds(200);
constexpr Duration slownessCacheTime = std::chrono::milliseconds(20);
// Time constant with which the measurements decay without new answers, so that a slow or failing server is tried again.
constexpr double decayTimeConstantMicros = 3e6;

}

ServerLoad::ServerLoad(fleet::ServerEntry entry, TimePoint now)
    : serverEntry(std::move(entry))
    , warmUpEnd(now + this->serverEntry.warmupLeft)
    , knownSince(now)
{
}

void ServerLoad::update(const fleet::ServerEntry& entry, TimePoint now)
{
    if (entry.instance != this->serverEntry.instance) {
        auto limiter = this->coldLimiter;
        auto limit = this->overdueLimit;
        *this = ServerLoad(entry, now);
        this->coldLimiter = limiter;
        this->overdueLimit = limit;
        this->assumeCold(this->coldTimeOfEntry(), now);
        return;
    }
    auto previous = std::exchange(this->serverEntry, entry);
    this->warmUpEnd = std::max(this->warmUpEnd, now + entry.warmupLeft);
    // The same entry again says nothing new: a list that is not read for a while would keep the server cold.
    if (entry.warmupLeft != previous.warmupLeft || entry.cold != previous.cold)
        this->assumeCold(this->coldTimeOfEntry(), now);
    // After an evacuation servers are cold, and their entries show it only with the next heartbeat.
    if (this->coldLimiter && previous.state == fleet::ServerState::Draining && entry.state == fleet::ServerState::Ready)
        this->assumeCold(this->coldLimiter->limits().period, now);
}

void ServerLoad::setColdLimits(const ColdLimits& limits, TimePoint requestsKnownSince, TimePoint now)
{
    if (limits.requestsPerSecond <= 0) {
        this->coldLimiter.reset();
        return;
    }
    if (this->coldLimiter) {
        if (this->coldLimiter->limits() != limits)
            this->coldLimiter->setLimits(limits, now);
        return;
    }
    this->coldLimiter.emplace(limits, requestsKnownSince, now);
    this->assumeCold(this->coldTimeOfEntry(), now);
}

// A host that places jobs on its own follows the coordinator's mark for as long as the list has it: the coordinator may
// have found the server cold again, which does not change the mark.
bool ServerLoad::isCold(TimePoint now) const
{
    if (!this->coldLimiter)
        return false;
    return now < this->coldUntil || (this->coldLimiter->limits().avoid && this->serverEntry.cold);
}

Duration ServerLoad::coldTimeOfEntry() const
{
    if (this->serverEntry.cold && this->coldLimiter)
        return std::max(this->serverEntry.warmupLeft, this->coldLimiter->limits().period);
    return this->serverEntry.warmupLeft;
}

void ServerLoad::assumeCold(Duration time, TimePoint now)
{
    if (this->coldLimiter && time > Duration::zero())
        this->coldUntil = std::max(this->coldUntil, now + time);
}

void ServerLoad::assumeColdAtStart(TimePoint now)
{
    if (this->coldLimiter)
        this->assumeCold(std::min(this->coldLimiter->limits().period, entryDelay), now);
}

// A server that was down is cold when it is back, and its entry may be older than its restart. If it still answers
// others, the network of the reporting host is at fault, or the server is full and resets connections.
void ServerLoad::assumeColdAfterLoss(TimePoint now)
{
    if (this->coldLimiter && now - std::max(this->lastAnswer, this->knownSince) > answerValidity)
        this->assumeCold(this->coldLimiter->limits().period, now);
}

void ServerLoad::jobPlaced(JobId job, TimePoint now)
{
    double coldTokens = this->coldLimiter ? this->coldLimiter->recordStart(now) : 0;
    // Computed before the job is added: compilers differ in the order within one statement.
    bool allSlotsTaken = this->inFlight() >= this->serverEntry.slots;
    this->jobs[job] = { now, allSlotsTaken, false, coldTokens, this->pace.relativeAt(now) };
}

Duration ServerLoad::serviceTime(JobId job, Duration elapsed, TimePoint now) const
{
    auto found = this->jobs.find(job);
    if (found == this->jobs.end() || found->second.queued || !found->second.wasQueued)
        return elapsed;
    return std::min(elapsed, std::max(now - found->second.start, Duration(1)));
}

// When a slot becomes free, the server starts the job that has waited there longest.
void ServerLoad::startQueued(TimePoint now)
{
    auto running
        = std::count_if(this->jobs.begin(), this->jobs.end(), [](const auto& entry) { return !entry.second.queued; });
    if (running >= static_cast<std::int64_t>(this->serverEntry.slots))
        return;
    PlacedJob* first = nullptr;
    for (auto& [id, job] : this->jobs) {
        if (job.queued && (!first || job.start < first->start))
            first = &job;
    }
    if (first)
        *first = { now, false, true, first->coldTokens, this->pace.relativeAt(now) };
}

void ServerLoad::jobEnded(JobId job, JobResult result, Duration elapsed, Duration averageServiceTime, TimePoint now)
{
    auto placed = this->jobs.find(job);
    if (placed == this->jobs.end())
        return;
    double coldTokens = placed->second.coldTokens;
    // The measured speed is that of the server, not that of the moment.
    double paceOfJob = (placed->second.pace + this->pace.relativeAt(now)) / 2;
    this->jobs.erase(placed);
    this->startQueued(now);
    if (result == JobResult::Answered || result == JobResult::ServerError)
        this->lastUse[job.host] = this->lastAnswer = now;
    auto addSample = [](double& value, double sample) { value += newestSampleWeight * (sample - value); };
    this->relativeServiceTime = 1 + (this->relativeServiceTime - 1) * this->sampleWeight(now);
    this->averageFailures *= this->sampleWeight(now);
    this->lastSample = now;
    switch (result) {
    case JobResult::Answered:
    case JobResult::TimedOut: {
        double sample = averageServiceTime > Duration::zero()
            ? static_cast<double>(elapsed.count()) / static_cast<double>(averageServiceTime.count())
            : 1;
        if (now < this->warmUpEnd)
            sample /= coldFactor;
        sample /= paceOfJob;
        addSample(this->relativeServiceTime, std::min(sample, maxRelativeServiceTime));
        addSample(this->averageFailures, result == JobResult::TimedOut ? 1 : 0);
        this->consecutiveFailures = result == JobResult::TimedOut ? this->consecutiveFailures : 0;
        break;
    }
    case JobResult::ServerError:
        addSample(this->averageFailures, 1);
        this->consecutiveFailures = 0;
        break;
    case JobResult::Rejected:
        addSample(this->averageFailures, 1);
        this->suspend(rejectionSuspension, now);
        break;
    case JobResult::ConnectFailed:
        ++this->consecutiveFailures;
        this->assumeColdAfterLoss(now);
        this->suspend(initialSuspension * (1U << std::min(this->consecutiveFailures - 1, 6U)), now);
        break;
    case JobResult::Lost:
        addSample(this->averageFailures, 1);
        if (++this->consecutiveFailures >= suspensionThreshold) {
            this->assumeColdAfterLoss(now);
            this->suspend(
                initialSuspension * (1U << std::min(this->consecutiveFailures - suspensionThreshold, 6U)), now);
        }
        break;
    case JobResult::WrongOwner:
        ++this->consecutiveFailures;
        if (this->coldLimiter)
            this->coldLimiter->undoStart(coldTokens, now);
        this->suspend(wrongOwnerSuspension * (1U << std::min(this->consecutiveFailures - 1, 6U)), now);
        break;
    case JobResult::Abandoned:
        break;
    }
}

bool ServerLoad::isUsable(TimePoint now) const
{
    return this->serverEntry.state == fleet::ServerState::Ready && now >= this->suspendedUntil;
}

void ServerLoad::pauseFor(std::uint64_t host, TimePoint until)
{
    auto& end = this->pauses[host];
    end = std::max(end, until);
}

TimePoint ServerLoad::pausedUntil(std::uint64_t host) const
{
    auto found = this->pauses.find(host);
    return found == this->pauses.end() ? TimePoint() : found->second;
}

bool ServerLoad::hasFreeSlot(unsigned extra, double share, TimePoint now) const
{
    auto maxJobs = std::max(1.0, std::ceil((this->serverEntry.slots + extra) * share));
    if (this->isHeldByColdLimit(now) || !this->isUsable(now))
        return false;
    // Whatever a server states, it gets one job at a time, whose response shows whether the statement still holds.
    auto foreign = now - this->foreignJobsAt < reportValidity
        ? std::min(this->foreignJobs, static_cast<unsigned>(maxJobs) - 1)
        : 0;
    return this->inFlight() + foreign < static_cast<unsigned>(maxJobs);
}

// Jobs that are on their way to the server or back are known here and not to the server, so that the difference is
// rather too small.
void ServerLoad::recordReport(const ServerReport& report, TimePoint now)
{
    if (report.pacePercent != 0) {
        this->pace.record(report.pacePercent, now);
        this->slownessTime = {};
    }
    if (report.slots == 0)
        return;
    auto stated = std::min(report.running, report.slots) + std::min(report.waiting, maxReportedRequests);
    auto known = this->inFlight();
    this->foreignJobs = stated > known ? stated - known : 0;
    this->foreignJobsAt = now;
}

double ServerLoad::jobsPerServiceTime(Duration averageServiceTime, TimePoint now) const
{
    if (!this->isUsable(now))
        return 0;
    double jobs = this->serverEntry.slots / this->steadySlowness(averageServiceTime, now);
    if (!this->isCold(now))
        return jobs;
    return std::min(jobs, this->coldRate(now) * std::chrono::duration<double>(averageServiceTime).count());
}

double ServerLoad::slowness(Duration averageServiceTime, TimePoint now) const
{
    this->updateSlowness(averageServiceTime, now);
    return this->slownessValue;
}

double ServerLoad::steadySlowness(Duration averageServiceTime, TimePoint now) const
{
    this->updateSlowness(averageServiceTime, now);
    return this->steadySlownessValue;
}

void ServerLoad::updateSlowness(Duration averageServiceTime, TimePoint now) const
{
    if (now - this->slownessTime < slownessCacheTime)
        return;
    double measured = 1 + (this->relativeServiceTime - 1) * this->sampleWeight(now);
    double steady = measured * (now < this->warmUpEnd ? coldFactor : 1);
    double overdue = 0;
    for (const auto& [id, job] : this->jobs) {
        if (job.queued)
            continue;
        double age = static_cast<double>((now - job.start).count())
            / std::max(1.0, static_cast<double>(averageServiceTime.count()));
        // A job that started while the server was slow is older without being overdue.
        if (age > overdueFactor * steady * std::max(1.0, job.pace))
            overdue = std::max(overdue, std::min(age / overdueFactor, this->overdueLimit * steady));
    }
    this->slownessTime = now;
    auto bounded = [](double value) { return std::clamp(value, 0.05, maxRelativeServiceTime); };
    this->steadySlownessValue = bounded(std::max(steady, overdue));
    this->slownessValue = bounded(std::max(steady * this->pace.relativeAt(now), overdue));
}

double ServerLoad::failureRate(TimePoint now) const
{
    return this->averageFailures * this->sampleWeight(now);
}

bool ServerLoad::usedRecently(std::uint64_t host, TimePoint now) const
{
    auto found = this->lastUse.find(host);
    return found != this->lastUse.end() && now - found->second < connectionIdleTimeout;
}

double ServerLoad::sampleWeight(TimePoint now) const
{
    return std::exp(-static_cast<double>((now - this->lastSample).count()) / decayTimeConstantMicros);
}

void ServerLoad::suspend(Duration time, TimePoint now)
{
    this->suspendedUntil = std::max(this->suspendedUntil, now + std::min(time, maxSuspension));
}

}
