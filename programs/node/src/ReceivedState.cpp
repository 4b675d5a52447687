#include "ReceivedState.h"

#include "coordination/StateEncoding.h"

namespace sequoia::node {

namespace {

// A list that has not been confirmed for this time is stale, and the host reads it from the store instead.
constexpr Duration directoryValidity = std::chrono::milliseconds(900);
// The coordinator reads the list every 0.8 s, and an answer of the store may take some time.
constexpr std::int64_t maxStoreContactAgeMs = 1500;

}

ReceivedState::ReceivedState(timeline::EventLog& log)
    : events(log)
{
}

void ReceivedState::apply(const wire::Datagram& datagram, bool ownersOnly, TimePoint now)
{
    if (datagram.has_server_changes() && this->hasServers && !ownersOnly) {
        coordination::applyServerChanges(datagram.server_changes(), this->servers);
        this->replica.assign(coordination::serverGroup, coordination::encodeServers(this->servers));
        this->applying = true;
        if (this->callbacks.onServers)
            this->callbacks.onServers(this->servers, true);
        this->applying = false;
    }
    auto changed = this->replica.apply(datagram);
    for (const auto& group : changed) {
        auto service = coordination::serviceOfOwnerGroup(group);
        if (!service.empty() && this->callbacks.onOwners)
            this->callbacks.onOwners(service, this->replica.contents(group));
    }
    if (ownersOnly)
        return;
    this->applying = true;
    bool serversComplete = this->replica.isCurrent(coordination::serverGroup);
    // A list in progress is used from its first part on, unless the host has none yet.
    bool isFirst = serversComplete && !this->hasServers;
    this->hasServers = this->hasServers || serversComplete;
    if (this->hasServers && (isFirst || changed.contains(coordination::serverGroup)))
        this->applyServers(true);
    bool hasConfiguration = this->replica.isCurrent(coordination::configurationGroup);
    if (hasConfiguration && this->callbacks.onConfiguration)
        this->callbacks.onConfiguration(
            coordination::decodeText(this->replica.contents(coordination::configurationGroup)));
    if (this->replica.takeChange(coordination::evacuationGroup))
        this->applyEvacuations();
    // The list of a coordinator that does not reach the store is stale. Hosts then read the store themselves, and
    // report whether they reach it.
    bool fresh = datagram.has_beacon() && datagram.beacon().store_contact_age_ms() < maxStoreContactAgeMs;
    if (fresh && serversComplete) {
        this->lastConfirmed = now;
        this->applyServers(false);
    }
    this->applying = false;
}

void ReceivedState::applyServers(bool changed)
{
    if (changed) {
        auto decoded = coordination::decodeServers(this->replica.contents(coordination::serverGroup));
        if (!succeeded(decoded)) {
            this->events.record(timeline::Severity::Warn, "server_list_refused",
                { { "reason", errorOf(decoded).message }, { "remedy", errorOf(decoded).remedy } });
            return;
        }
        this->servers = std::move(valueOf(decoded));
    }
    if (this->callbacks.onServers)
        this->callbacks.onServers(this->servers, changed);
}

void ReceivedState::applyEvacuations()
{
    if (!this->callbacks.onEvacuations)
        return;
    auto decoded = coordination::decodeEvacuations(this->replica.contents(coordination::evacuationGroup));
    if (succeeded(decoded))
        this->callbacks.onEvacuations(valueOf(decoded));
    else
        this->events.record(timeline::Severity::Warn, "evacuations_refused",
            { { "reason", errorOf(decoded).message }, { "remedy", errorOf(decoded).remedy } });
}

void ReceivedState::assignServers(const fleet::ServerMap& listed)
{
    if (this->applying)
        return;
    this->servers = listed;
    this->hasServers = true;
    this->replica.assign(coordination::serverGroup, coordination::encodeServers(listed));
}

void ReceivedState::assignConfiguration(const std::string& text)
{
    if (!this->applying)
        this->replica.assign(coordination::configurationGroup, coordination::encodeText(text));
}

bool ReceivedState::isCurrent(TimePoint now) const
{
    return now - this->lastConfirmed < directoryValidity;
}

}
