#include "coordination/Coordinator.h"
#include "coordination/JobMessages.h"

#include <algorithm>

// The parts of the coordinator that take in the jobs of hosts and send them the decisions.

namespace sequoia::coordination {

namespace {

// Retry-After for a request whose host and coordinator have different configurations for a moment.
constexpr Duration otherConfigurationRetry = std::chrono::milliseconds(300);
// A longer service time of a job is a mistake.
constexpr Duration maxJobTime = std::chrono::hours(1);

}

void Coordinator::endJobs(const Host& host, const wire::Datagram& datagram)
{
    auto now = this->clock.now();
    for (const auto& end : datagram.ends()) {
        if (end.submission() < submissionOf(host, end.job()))
            continue;
        auto elapsed = std::min<std::uint64_t>(end.elapsed_us(), static_cast<std::uint64_t>(maxJobTime.count()));
        if (auto result = jobResultOf(end.result()))
            this->addDecisions(this->scheduler.jobEnded({ host.number, end.job() }, *result,
                Duration(static_cast<std::int64_t>(elapsed)), now, serverReportOf(end)));
    }
    for (const auto& withdrawal : datagram.withdrawals()) {
        if (withdrawal.submission() < submissionOf(host, withdrawal.job()))
            continue;
        balance::JobId id { host.number, withdrawal.job() };
        this->scheduler.withdraw(id);
        this->addDecisions(this->scheduler.jobEnded(id, balance::JobResult::Abandoned, {}, now));
    }
}

std::uint32_t Coordinator::submissionOf(const Host& host, std::uint64_t job)
{
    auto found = host.submissions.find(job);
    return found == host.submissions.end() ? 0 : found->second;
}

bool Coordinator::acceptSubmission(Host& host, const wire::Submit& message)
{
    auto known = submissionOf(host, message.job());
    if (message.submission() <= known)
        return message.submission() == known;
    host.submissions[message.job()] = message.submission();
    balance::JobId id { host.number, message.job() };
    this->scheduler.withdraw(id);
    this->addDecisions(this->scheduler.jobEnded(id, balance::JobResult::Abandoned, {}, this->clock.now()));
    return true;
}

void Coordinator::forgetEndedSubmissions(Host& host)
{
    std::erase_if(host.submissions, [&](const auto& entry) {
        balance::JobId id { host.number, entry.first };
        return !this->scheduler.isWaiting(id) && !this->scheduler.placementOf(id);
    });
}

void Coordinator::submitJob(Host& host, const wire::Submit& message)
{
    auto now = this->clock.now();
    if (!this->acceptSubmission(host, message))
        return;
    balance::JobId id { host.number, message.job() };
    if (const auto* server = this->scheduler.placementOf(id)) {
        // A server that has started anew or has ended since does not have the job.
        auto load = this->scheduler.servers().find(*server);
        bool hasJob = load != this->scheduler.servers().end() && load->second.hasJob(id);
        if (hasJob && *server != message.declined_server()) {
            // The host submits the job again because the placement was lost.
            this->addPlacement(host.number, message.job(), *server);
            return;
        }
        this->addDecisions(this->scheduler.jobEnded(id, balance::JobResult::Abandoned, {}, now));
    }
    if (this->scheduler.isWaiting(id)) {
        this->replyTo(host.number).add_queued()->set_job(message.job());
        return;
    }
    auto job = makeJob(message, host.number, now);
    if (!job)
        return;
    const auto* traits = this->configuration ? this->configuration->service(job->service) : nullptr;
    if (traits && traits->keyed != job->key.has_value()) {
        // The host has another configuration. One such job would change how all jobs of the service are queued.
        this->addDecisions({ balance::JobRefusal { id, balance::RefusalReason::NoServer, otherConfigurationRetry } });
        return;
    }
    job->dataCentre = host.dataCentre;
    if (job->key) {
        auto keyedService = this->keyedServices.find(job->service);
        if (keyedService != this->keyedServices.end())
            keyedService->second.load.recordRequest(*job->key);
    }
    this->addDecisions(this->scheduler.submit(*job, now));
    if (this->scheduler.isWaiting(id))
        this->replyTo(host.number).add_queued()->set_job(message.job());
}

void Coordinator::addPlacement(std::uint64_t hostNumber, std::uint64_t job, const std::string& server)
{
    auto* message = this->replyTo(hostNumber).add_placements();
    message->set_job(job);
    message->set_server(server);
    auto host = this->findHost(hostNumber);
    if (host != this->hosts.end())
        message->set_submission(submissionOf(host->second, job));
    auto entry = this->servers.find(server);
    if (entry != this->servers.end()) {
        message->set_address(entry->second.address);
        message->set_born_ms(entry->second.instance.startMillis);
    }
}

void Coordinator::addDecisions(const std::vector<balance::SchedulingDecision>& decisions)
{
    for (const auto& decision : decisions) {
        auto host = std::visit([](const auto& value) { return value.job.host; }, decision);
        if (!this->incarnationOfHost.contains(host))
            continue;
        auto& reply = this->replyTo(host);
        if (const auto* placement = std::get_if<balance::JobPlacement>(&decision))
            this->addPlacement(host, placement->job.number, placement->server);
        else if (const auto* refusal = std::get_if<balance::JobRefusal>(&decision)) {
            auto* message = reply.add_refusals();
            message->set_job(refusal->job.number);
            message->set_reason(static_cast<std::uint32_t>(refusal->reason));
            message->set_retry_after_ms(static_cast<std::uint64_t>(toMillis(refusal->retryAfter)));
        }
    }
}

}
