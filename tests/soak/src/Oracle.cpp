#include "Oracle.h"

#include <algorithm>

namespace sequoia::soak {

namespace {

// Grants that arrive this long after a thaw or a healed link do not count (the users' bound `thaw_slack_ms`).
constexpr Duration thawSlack = std::chrono::milliseconds(300);

// The users' bound `contact_ms`: hosts that were disturbed within this time are not bound by rules in time.
constexpr Duration contactTime = std::chrono::seconds(3);

bool promisesNotRun(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

}

Oracle::Oracle(const Clock& source, Violated callback)
    : clock(source)
    , violated(std::move(callback))
{
}

void Oracle::report(const std::string& promise, const std::string& details)
{
    this->violated(promise, details);
}

void Oracle::sent(const SentRequest& request)
{
    this->records[request.content.id] = { request, 0, 0 };
}

void Oracle::onRequestStarted(
    const platform_standin::ServerStandIn& server, const platform_standin::ReceivedRequest& request)
{
    ++this->runCount;
    const auto& id = server.options().id;
    auto found = this->records.find(request.id);
    if (found == this->records.end()) {
        this->report("unasked", "request=" + request.id + " server=" + id + " reason=unknown");
        return;
    }
    auto& record = found->second;
    const auto& content = record.request.content;
    if (request.method != content.method || request.target != content.target || request.body != content.body
        || request.key != (server.options().keyed ? content.key : std::nullopt))
        this->report("unasked", "request=" + request.id + " server=" + id + " reason=changed");
    if (server.options().service != record.request.service)
        this->report("route", "request=" + request.id + " server=" + id + " service=" + server.options().service);
    bool idempotent = record.request.kind == fleet::RequestKind::Idempotent;
    ++record.runs;
    if (!idempotent && record.runs > 1)
        this->report("twice", "request=" + request.id + " server=" + id);
    if (!idempotent && record.refusedWith != 0)
        this->report("refused", "request=" + request.id + " server=" + id + " reason=runs-after-refusal");
    if (this->isViolated(this->leavings, id))
        this->report("drain", "request=" + request.id + " server=" + id);
    if (this->isViolated(this->evacuations, server.options().dataCentre))
        this->report("evacuation", "request=" + request.id + " server=" + id);
    if (request.key)
        this->checkOwner(server, *request.key);
}

bool Oracle::isViolated(const std::map<std::string, Leaving>& bounds, const std::string& name) const
{
    auto found = bounds.find(name);
    return found != bounds.end() && this->clock.now() > found->second.closedFrom
        && this->disturbedUntil + contactTime < found->second.told;
}

void Oracle::checkOwner(const platform_standin::ServerStandIn& server, fleet::Key key)
{
    for (const auto* other : this->servers) {
        if (other == &server || other->options().service != server.options().service || !other->leaseFence(key))
            continue;
        auto granted = std::max(this->lastGrant[other->options().id], this->lastGrant[server.options().id]);
        bool excused = granted >= this->lastThaw && granted - this->lastThaw <= thawSlack;
        if (!excused)
            this->report("owner",
                "key=" + std::to_string(key) + " server=" + server.options().id + " other=" + other->options().id);
    }
}

void Oracle::onKeysGranted(
    const platform_standin::ServerStandIn& server, fleet::KeyRange keys, fleet::FencingToken fence)
{
    const auto& id = server.options().id;
    this->lastGrant[id] = this->clock.now();
    auto& holders = this->lastHolders[server.options().service];
    if (holders.empty())
        holders.resize(fleet::keyCount);
    for (std::uint32_t key = keys.first; key <= keys.last; ++key) {
        auto& last = holders[key];
        if (last.server != id && !last.server.empty() && fence <= last.fence) {
            this->report("fence",
                "key=" + std::to_string(key) + " server=" + id + " fence=" + std::to_string(fence)
                    + " before=" + last.server + " fence_before=" + std::to_string(last.fence));
            return;
        }
        last = { id, std::max(fence, last.fence) };
    }
}

void Oracle::answered(
    const std::string& id, unsigned status, bool signedByServer, const std::string& responseId, const std::string& body)
{
    auto found = this->records.find(id);
    if (found == this->records.end())
        return;
    auto& record = found->second;
    auto details = "request=" + id + " status=" + std::to_string(status);
    if (status >= 200 && status < 300) {
        bool whole = signedByServer && responseId == id
            && body == platform_standin::ServerStandIn::expectedBody(record.request.content);
        if (!whole)
            this->report("mixed", details + " response_id=" + responseId);
        else if (record.runs == 0)
            this->report("mixed", details + " reason=never-ran");
        return;
    }
    if (!promisesNotRun(status))
        return;
    record.refusedWith = status;
    if (record.runs > 0 && record.request.kind != fleet::RequestKind::Idempotent)
        this->report("refused", details + " reason=has-run");
}

void Oracle::leaving(const std::string& server, Duration bound)
{
    // The entry is written anew with each heartbeat; the first one counts.
    auto now = this->clock.now();
    this->leavings.try_emplace(server, Leaving { now, now + bound });
}

void Oracle::evacuated(const std::string& dataCentre, Duration bound)
{
    auto now = this->clock.now();
    this->evacuations[dataCentre] = { now, now + bound };
}

void Oracle::disturbed(Duration time)
{
    this->disturbedUntil = std::max(this->disturbedUntil, this->clock.now() + time);
}

}
