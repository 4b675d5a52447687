#include "HolderTerm.h"

#include <cmath>

namespace sequoia::ownership {

namespace {

Duration withClockRateMargin(Duration duration, double bound)
{
    double micros = static_cast<double>(duration.count()) * (1 + bound);
    return Duration(static_cast<std::int64_t>(std::ceil(micros)));
}

SessionTiming timingOf(const PartitionOptions& options)
{
    double bound = options.lease.clockRateBound;
    return { options.serverLease, withClockRateMargin(options.serverLease, bound), options.serverRenewInterval,
        withClockRateMargin(options.routeValidity + options.maxRequestDeadline, bound) };
}

}

HolderTerm::HolderTerm(const PartitionOptions& options, std::uint64_t term, TimePoint holderSince, Outputs& outputs)
    : sessions(timingOf(options), holderSince)
    , events(options.lease.partition, outputs)
    , activation(this->sessions, this->events)
    , planner(options, this->sessions, this->activation, this->events, term)
    , term(term)
    , holderSince(holderSince)
    , sender { options.lease.partition, options.lease.self.incarnation(), term, 0 }
{
    this->events.setTerm(term);
}

void HolderTerm::setHosts(const std::map<std::string, wire::Host>& hosts, TimePoint now)
{
    for (const auto& [id, host] : hosts)
        this->sessions.open(id).setHost(host, now);
}

void HolderTerm::setRecord(const lease::VersionedRecord& record)
{
    if (this->hasRecord && record.version == this->recordVersion)
        return;
    this->hasRecord = true;
    this->recordVersion = record.version;
    this->activation.setRecord(record.record);
}

void HolderTerm::onGrantAnswered(const GrantAnswered& message, TimePoint now)
{
    if (message.request.term() != this->term)
        return;
    ServerSession* session = this->sessions.find(message.server);
    if (!session)
        return;
    bool wasFenced = session->isFenced();
    session->onGrantAnswered(message, now);
    if (!wasFenced && session->isFenced()) {
        this->events.emit("server_fenced",
            { { "server", message.server }, { "incarnation", message.reply.incarnation() },
                { "leaseLeftMs", std::to_string(message.reply.lease_left_ms()) },
                { "held", std::to_string(message.reply.held_size()) } });
    }
    if (message.reply.outcome() == wire::GRANT_OUTCOME_ACCEPTED)
        return;
    this->events.emit("grant_refused",
        { { "server", message.server }, { "sequence", std::to_string(message.request.sequence()) },
            { "refusal", wire::GrantOutcome_Name(message.reply.outcome()) },
            { "acceptedTerm", std::to_string(message.reply.accepted_term()) },
            { "acceptedSequence", std::to_string(message.reply.accepted_sequence()) } });
}

void HolderTerm::onGrantFailed(const GrantFailed& message)
{
    if (ServerSession* session = this->sessions.find(message.server))
        session->onGrantFailed(message.sequence);
}

void HolderTerm::confirmGone(const std::string& server)
{
    this->sessions.open(server).markGone();
}

void HolderTerm::expire(TimePoint now)
{
    for (auto& [id, session] : this->sessions) {
        if (session.expire(now))
            this->events.emit(session.isGone() ? "server_gone" : "server_lease_ended", { { "server", id } });
    }
}

void HolderTerm::decide(const wire::PartitionRecord* proposal, TimePoint now)
{
    this->activation.setProposal(proposal);
    this->activation.decide(now);
}

void HolderTerm::sendDue(Outputs& outputs, TimePoint now)
{
    for (auto& [id, session] : this->sessions) {
        if (auto grant = session.nextDueGrant(this->sender, now))
            outputs.emplace_back(std::move(*grant));
    }
}

}
