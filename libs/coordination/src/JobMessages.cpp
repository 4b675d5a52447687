#include "coordination/JobMessages.h"

#include <algorithm>

namespace sequoia::coordination {

namespace {

constexpr std::int64_t maxMillis = std::int64_t { 24 } * 3600 * 1000;

}

void fillSubmit(const balance::Job& job, TimePoint now, wire::Submit& message)
{
    message.set_job(job.id.number);
    message.set_service(job.service);
    message.set_keyed(job.key.has_value());
    message.set_key(job.key.value_or(0));
    message.set_priority(job.priority);
    message.set_target_left_ms(toMillis(job.target - now));
    message.set_deadline_left_ms(toMillis(job.deadline - now));
    message.set_attempt(job.attempt);
    message.set_max_attempts(job.maxAttempts);
    message.set_fingerprint(job.fingerprint);
    message.set_work_class(job.workClass);
    for (const auto& server : job.tried)
        message.add_tried(server);
}

Duration boundedMillis(std::int64_t millis)
{
    return fromMillis(std::clamp(millis, -maxMillis, maxMillis));
}

std::optional<balance::JobResult> jobResultOf(std::uint32_t number)
{
    if (number >= balance::jobResultNames.size())
        return std::nullopt;
    return static_cast<balance::JobResult>(number);
}

std::optional<balance::RefusalReason> refusalReasonOf(std::uint32_t number)
{
    if (number >= balance::refusalReasonNames.size())
        return std::nullopt;
    return static_cast<balance::RefusalReason>(number);
}

void fillServerReport(const balance::ServerReport& report, wire::ServerLoadReport& message)
{
    message.set_running(report.running);
    message.set_waiting(report.waiting);
    message.set_slots(report.slots);
    message.set_pace_percent(report.pacePercent);
}

std::optional<balance::ServerReport> serverReportOf(const wire::JobEnd& message)
{
    if (!message.has_load())
        return std::nullopt;
    auto bounded = [](std::uint32_t value, std::uint32_t limit) { return std::min(value, limit); };
    const auto& load = message.load();
    return balance::ServerReport { bounded(load.running(), balance::maxReportedRequests),
        bounded(load.waiting(), balance::maxReportedRequests), bounded(load.slots(), balance::maxReportedRequests),
        bounded(load.pace_percent(), balance::maxPacePercent) };
}

std::optional<balance::Job> makeJob(const wire::Submit& message, std::uint64_t host, TimePoint now)
{
    if (message.keyed() && message.key() >= fleet::keyCount)
        return std::nullopt;
    balance::Job job;
    job.id = { host, message.job() };
    job.service = message.service();
    if (message.keyed())
        job.key = static_cast<fleet::Key>(message.key());
    job.priority = message.priority();
    job.target = now + boundedMillis(message.target_left_ms());
    job.deadline = now + boundedMillis(message.deadline_left_ms());
    job.attempt = message.attempt();
    job.maxAttempts = message.max_attempts();
    job.fingerprint = message.fingerprint();
    job.workClass = message.work_class();
    job.tried.assign(message.tried().begin(), message.tried().end());
    return job;
}

}
