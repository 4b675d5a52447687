#include "coordination/PlacementClient.h"

#include "coordination/JobMessages.h"

#include <algorithm>
#include <utility>

namespace sequoia::coordination {

namespace {

// Jobs are placed locally after this time without a message of the coordinator; several beacon intervals.
constexpr Duration coordinatorTimeout = std::chrono::milliseconds(500);
// Interval before an unacknowledged submission is first resent, then doubled; longer than a round trip between data
// centres.
constexpr Duration minResendInterval = std::chrono::milliseconds(40);
// A coordinator that does not reply within this time is overloaded, and the host places the job locally.
constexpr Duration minReplyTimeout = std::chrono::milliseconds(250);
// With more hosts than this, both times grow with their number: a coordinator of many hosts that is late by some tenths
// of a second would get each submission several times, and the hosts together would overload the servers.
constexpr double hostsWithMinTimeouts = 60;
// Job ends are repeated in datagrams for this time, at most this many in each.
constexpr Duration jobEndRepeatPeriod = std::chrono::milliseconds(120);
constexpr std::size_t maxRepeatedJobEnds = 12;
// Share of each server's slots for local placement. Hosts that place locally at the same time share the slots, and
// their number is not known exactly.
constexpr double localSlotShare = 0.3;
// A job for a key whose owner is not known yet waits for this part of its time.
constexpr int unknownOwnerWaitDivisor = 2;
constexpr std::int64_t maxReportedRoundTripMicros = 10'000'000;
// Used until a beacon gives the number of hosts.
constexpr std::uint32_t defaultHostCount = 10;

}

PlacementClient::PlacementClient(
    const Clock& clockSource, balance::SchedulerOptions schedulerOptions, ScheduleSend scheduleSendCallback)
    : clock(clockSource)
    , scheduleSend(std::move(scheduleSendCallback))
    , scheduler(schedulerOptions, this->planCache)
{
    this->scheduler.setSlotShare(localSlotShare);
    this->setHostCount(defaultHostCount);
}

PlacementClient::~PlacementClient() = default;

void PlacementClient::submit(const balance::Job& job, edge::PlacementObserver& observer)
{
    auto& entry = this->pendingJobs[job.id.number];
    entry.job = job;
    entry.observer = &observer;
    if (!this->coordinatorActive) {
        this->submitLocally(job.id.number);
        return;
    }
    entry.atCoordinator = true;
    entry.firstSent = this->clock.now();
    this->sendSubmit(entry);
}

void PlacementClient::sendSubmit(PendingJob& entry)
{
    auto now = this->clock.now();
    entry.lastSent = now;
    auto* message = this->outgoing.add_submits();
    fillSubmit(entry.job, now, *message);
    message->set_declined_server(entry.declinedServer);
    message->set_submission(entry.submission);
    this->hasOutgoing = true;
    this->scheduleSend();
}

void PlacementClient::submitLocally(std::uint64_t number)
{
    auto found = this->pendingJobs.find(number);
    if (found == this->pendingJobs.end())
        return;
    found->second.atCoordinator = false;
    auto job = found->second.job;
    auto now = this->clock.now();
    // The owners become known when a coordinator is found. If that takes long, the caller gets the time to try again.
    if (job.key && !this->planCache.knows(job.service) && job.deadline > now)
        job.deadline = now + (job.deadline - now) / unknownOwnerWaitDivisor;
    this->applyDecisions(this->scheduler.submit(job, this->clock.now()));
}

void PlacementClient::withdraw(std::uint64_t job)
{
    auto found = this->pendingJobs.find(job);
    if (found == this->pendingJobs.end())
        return;
    if (found->second.atCoordinator) {
        this->queueWithdrawal(job, found->second.submission);
        this->scheduleSend();
    } else
        this->scheduler.withdraw(found->second.job.id);
    this->pendingJobs.erase(found);
}

void PlacementClient::reportEnd(
    std::uint64_t job, balance::JobResult result, Duration elapsed, const std::optional<balance::ServerReport>& load)
{
    auto found = this->placedJobs.find(job);
    if (found == this->placedJobs.end())
        return;
    auto placementTerm = found->second.term;
    bool isKnownToCoordinator = placementTerm == this->term && found->second.hostNumber == this->hostNumber;
    auto submission = found->second.submission;
    this->placedJobs.erase(found);
    if (isKnownToCoordinator && placementTerm != 0)
        this->queueJobEnd(job, submission, result, elapsed, load);
    else if (placementTerm == 0)
        this->applyDecisions(this->scheduler.jobEnded({ 0, job }, result, elapsed, this->clock.now(), load));
}

void PlacementClient::queueWithdrawal(std::uint64_t number, std::uint32_t submission)
{
    auto* message = this->outgoing.add_withdrawals();
    message->set_job(number);
    message->set_submission(submission);
    this->hasOutgoing = true;
}

void PlacementClient::queueJobEnd(std::uint64_t number, std::uint32_t submission, balance::JobResult result,
    Duration elapsed, const std::optional<balance::ServerReport>& load)
{
    wire::JobEnd end;
    end.set_job(number);
    end.set_submission(submission);
    end.set_result(static_cast<std::uint32_t>(result));
    end.set_elapsed_us(static_cast<std::uint64_t>(elapsed.count()));
    if (load)
        fillServerReport(*load, *end.mutable_load());
    this->recentJobEnds.emplace_back(this->clock.now(), end);
    this->hasOutgoing = true;
    this->scheduleSend();
}

void PlacementClient::setServers(const fleet::ServerMap& listed)
{
    this->listedServers = listed;
    this->applyServers();
}

void PlacementClient::applyServers()
{
    auto now = this->clock.now();
    this->servers = this->listedServers;
    this->leavingServers.apply(this->servers, now);
    this->scheduler.setUnservedServices(this->evacuations.servicesWithoutServers(this->servers));
    this->evacuations.apply(this->servers);
    this->scheduler.setServers(this->servers, now);
}

void PlacementClient::setEvacuations(const fleet::EvacuationState& state)
{
    if (this->evacuations.update(state))
        this->applyServers();
}

void PlacementClient::setHostCount(std::uint32_t hosts)
{
    double factor = std::max(1.0, hosts / hostsWithMinTimeouts);
    auto scaled = [factor](Duration time) {
        return Duration(static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
    };
    this->resendInterval = scaled(minResendInterval);
    this->replyTimeout = scaled(minReplyTimeout);
    this->scheduler.setRetryShare(1.0 / std::max(1U, hosts));
}

void PlacementClient::onCoordinatorContact(std::uint64_t newTerm)
{
    this->lastCoordinatorContact = this->clock.now();
    bool wasActive = std::exchange(this->coordinatorActive, true);
    bool isNewTerm = newTerm != this->term;
    if (isNewTerm) {
        this->term = newTerm;
        this->hostNumber = 0;
        this->forgetCoordinatorJobs();
    }
    if (!wasActive || isNewTerm)
        this->handWaitingJobsOver();
}

// The coordinator knows the free slots of all servers, and this host only its share of them.
void PlacementClient::handWaitingJobsOver()
{
    if (!this->coordinatorActive)
        return;
    for (auto& [number, entry] : this->pendingJobs) {
        if (entry.atCoordinator || !this->scheduler.isWaiting(entry.job.id))
            continue;
        this->scheduler.withdraw(entry.job.id);
        // A repeated end of the declined placement would end the next one.
        std::erase_if(this->recentJobEnds, [job = number](const auto& end) { return end.second.job() == job; });
        entry.atCoordinator = true;
        entry.acknowledged = false;
        entry.resendCount = 0;
        // A withdrawal or an end of the submission before may arrive after this one.
        ++entry.submission;
        entry.firstSent = this->clock.now();
        this->sendSubmit(entry);
    }
}

void PlacementClient::setHostNumber(std::uint64_t number)
{
    bool changed = this->hostNumber != 0 && number != this->hostNumber;
    // A new coordinator places jobs before its first beacon tells the number under which it knows them.
    for (auto& [job, placed] : this->placedJobs) {
        if (this->hostNumber == 0 && placed.term == this->term && placed.hostNumber == 0)
            placed.hostNumber = number;
    }
    this->hostNumber = number;
    if (changed)
        this->forgetCoordinatorJobs();
}

void PlacementClient::forgetCoordinatorJobs()
{
    this->roundTripTime.clear();
    this->recentJobEnds.clear();
    this->mustSendLoads = true;
    this->resubmitAll();
}

// A new coordinator does not know the jobs that wait at its predecessor, and one that has removed this host after a
// silence does not know them any more.
void PlacementClient::resubmitAll()
{
    this->outgoing.Clear();
    for (auto& [number, entry] : this->pendingJobs) {
        if (!entry.atCoordinator)
            continue;
        entry.acknowledged = false;
        entry.resendCount = 0;
        entry.firstSent = this->clock.now();
        this->sendSubmit(entry);
    }
}

void PlacementClient::onCoordinatorLost()
{
    if (!this->coordinatorActive)
        return;
    this->coordinatorActive = false;
    std::vector<std::uint64_t> waiting;
    for (const auto& [number, entry] : this->pendingJobs) {
        if (entry.atCoordinator)
            waiting.push_back(number);
    }
    for (auto number : waiting)
        this->submitLocally(number);
}

// Only the reply to a submission that was sent once shows which message it answers.
void PlacementClient::recordReply(const PendingJob& entry)
{
    auto now = this->clock.now();
    if (entry.atCoordinator && !entry.acknowledged && entry.resendCount == 0)
        this->roundTripTime.record(now - entry.firstSent, now);
}

void PlacementClient::receive(const wire::Datagram& datagram, Addressee addressee, std::uint64_t number)
{
    if (addressee == Addressee::OtherProcess)
        return;
    if (addressee == Addressee::ThisProcess)
        this->setHostNumber(number);
    this->receive(datagram);
}

void PlacementClient::receive(const wire::Datagram& datagram)
{
    for (const auto& message : datagram.queued()) {
        auto found = this->pendingJobs.find(message.job());
        if (found == this->pendingJobs.end())
            continue;
        this->recordReply(found->second);
        found->second.acknowledged = true;
    }
    for (const auto& message : datagram.placements())
        this->onPlacementReceived(message);
    for (const auto& message : datagram.refusals())
        this->onJobRefused(message.job(),
            refusalReasonOf(message.reason()).value_or(balance::RefusalReason::Overloaded),
            boundedMillis(static_cast<std::int64_t>(std::min<std::uint64_t>(message.retry_after_ms(), INT64_MAX))));
}

void PlacementClient::onPlacementReceived(const wire::Placed& message)
{
    auto pending = this->pendingJobs.find(message.job());
    auto placed = this->placedJobs.find(message.job());
    bool isWaiting = pending != this->pendingJobs.end() && pending->second.atCoordinator
        && pending->second.submission == message.submission();
    bool isRunning = placed != this->placedJobs.end() && placed->second.term == this->term
        && placed->second.submission == message.submission();
    if (isWaiting)
        this->onJobPlaced(message.job(), { message.server(), message.born_ms() }, message.address(), true);
    else if (!isRunning)
        // The job has ended or was taken back in the meantime; its slot is freed.
        this->queueJobEnd(message.job(), message.submission(), balance::JobResult::Abandoned, {});
}

void PlacementClient::onJobPlaced(
    std::uint64_t number, const fleet::ServerInstance& server, const std::string& address, bool byCoordinator)
{
    auto found = this->pendingJobs.find(number);
    if (found == this->pendingJobs.end() || found->second.atCoordinator != byCoordinator)
        return;
    if (this->isOfOtherService(server, found->second.job.service)) {
        this->refuseMisplacement(number, server, byCoordinator);
        return;
    }
    if (byCoordinator && (this->isEvacuated(server.id) || this->isGone(server))) {
        // The coordinator does not know it yet, and would place the job there again.
        this->queueJobEnd(number, found->second.submission, balance::JobResult::Abandoned, {});
        this->submitLocally(number);
        return;
    }
    if (byCoordinator && this->mustDecline(server)) {
        this->declinePlacement(found->second, server);
        return;
    }
    if (byCoordinator)
        this->recordReply(found->second);
    auto* observer = found->second.observer;
    auto submission = found->second.submission;
    this->pendingJobs.erase(found);
    this->placedJobs[number] = { server, byCoordinator ? this->term : 0, this->hostNumber, submission };
    observer->onPlaced(number, { server.id, address, this->placedJobs[number].term });
}

fleet::ServerInstance PlacementClient::instanceOf(const std::string& server) const
{
    auto entry = this->servers.find(server);
    return entry == this->servers.end() ? fleet::ServerInstance { server, 0 } : entry->second.instance;
}

std::string PlacementClient::addressOf(const std::string& server) const
{
    auto entry = this->servers.find(server);
    return entry == this->servers.end() ? std::string() : entry->second.address;
}

void PlacementClient::onJobRefused(std::uint64_t number, balance::RefusalReason reason, Duration retryAfter)
{
    auto found = this->pendingJobs.find(number);
    if (found == this->pendingJobs.end())
        return;
    auto* observer = found->second.observer;
    auto decidingTerm = found->second.atCoordinator ? this->term : 0;
    // A late refusal of the coordinator finds the job in this host's own scheduler.
    if (!found->second.atCoordinator)
        this->scheduler.withdraw(found->second.job.id);
    this->pendingJobs.erase(found);
    observer->onRefused(number, { reason, retryAfter, decidingTerm });
}

void PlacementClient::applyDecisions(const std::vector<balance::SchedulingDecision>& decisions)
{
    for (const auto& decision : decisions) {
        if (const auto* placement = std::get_if<balance::JobPlacement>(&decision))
            this->onJobPlaced(
                placement->job.number, this->instanceOf(placement->server), this->addressOf(placement->server), false);
        else if (const auto* refusal = std::get_if<balance::JobRefusal>(&decision))
            this->onJobRefused(refusal->job.number, refusal->reason, refusal->retryAfter);
    }
}

void PlacementClient::tick()
{
    auto now = this->clock.now();
    std::erase_if(this->pauses, [now](const auto& entry) { return entry.second <= now; });
    if (this->coordinatorActive && now - this->lastCoordinatorContact > coordinatorTimeout)
        this->onCoordinatorLost();
    for (auto number : std::exchange(this->misplacedLocally, {}))
        this->applyDecisions(this->scheduler.jobEnded({ localHost, number }, balance::JobResult::Abandoned, {}, now));
    this->applyDecisions(this->scheduler.tick(now));
    std::vector<std::uint64_t> unanswered;
    for (auto& [number, entry] : this->pendingJobs) {
        if (!entry.atCoordinator || entry.acknowledged)
            continue;
        if (now - entry.firstSent >= this->replyTimeout)
            unanswered.push_back(number);
        else if (now - entry.lastSent >= this->resendInterval * (1U << entry.resendCount)) {
            ++entry.resendCount;
            this->sendSubmit(entry);
        }
    }
    for (auto number : unanswered) {
        this->queueWithdrawal(number, this->pendingJobs.at(number).submission);
        this->submitLocally(number);
    }
}

bool PlacementClient::takeMessages(wire::Datagram& datagram)
{
    if (!this->hasOutgoing)
        return false;
    this->hasOutgoing = false;
    datagram.Swap(&this->outgoing);
    this->outgoing.Clear();
    if (std::exchange(this->mustSendLoads, false)) {
        for (const auto& [server, count] : this->unmanagedJobs()) {
            auto* load = datagram.mutable_unmanaged_loads()->add_loads();
            load->set_server(server);
            load->set_in_flight(count);
        }
    }
    auto now = this->clock.now();
    while (!this->recentJobEnds.empty()
        && (now - this->recentJobEnds.front().first > jobEndRepeatPeriod && this->recentJobEnds.size() > 1))
        this->recentJobEnds.pop_front();
    auto first = this->recentJobEnds.size() > maxRepeatedJobEnds ? this->recentJobEnds.size() - maxRepeatedJobEnds : 0;
    // Ends that are newer than the last datagram were never sent, and are all sent regardless of the limit.
    for (std::size_t i = 0; i < this->recentJobEnds.size(); ++i) {
        bool unsent = this->recentJobEnds[i].first > this->lastDatagramAt;
        if (unsent || i >= first)
            *datagram.add_ends() = this->recentJobEnds[i].second;
    }
    this->lastDatagramAt = now;
    return true;
}

std::map<std::string, std::uint32_t> PlacementClient::unmanagedJobs() const
{
    std::map<std::string, std::uint32_t> inFlight;
    for (const auto& [number, job] : this->placedJobs) {
        if (job.term != this->term || job.term == 0 || job.hostNumber != this->hostNumber)
            ++inFlight[job.server.id];
    }
    return inFlight;
}

void PlacementClient::fillReport(wire::Report& report) const
{
    report.set_round_trip_us(static_cast<std::uint32_t>(
        std::min<std::int64_t>(this->roundTripTime.shortest(this->clock.now()).count(), maxReportedRoundTripMicros)));
    for (const auto& [server, count] : this->unmanagedJobs()) {
        auto* entry = report.add_loads();
        entry->set_server(server);
        entry->set_in_flight(count);
    }
}

}
