#include "ReceivedState.h"

#include "coordination/JobMessages.h"
#include "coordination/StateEncoding.h"

namespace sequoia::node {

ReceivedState::ReceivedState(timeline::EventLog& log, const fleet::ServerListTimes& times)
    : events(log)
    , listAge(times)
{
}

void ReceivedState::apply(const wire::Datagram& datagram, bool ownersOnly, TimePoint now)
{
    if (datagram.has_beacon() && !ownersOnly)
        this->listAge.recordAnnouncedAge(coordination::boundedMillis(datagram.beacon().store_contact_age_ms()), now);
    bool accepted = this->listAge.acceptsCoordinatorList(now);
    if (datagram.has_server_changes() && this->hasServers && !ownersOnly && accepted) {
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
    bool serversChanged = changed.contains(coordination::serverGroup);
    if (accepted || !this->hasServers)
        this->applyServerGroup(datagram.has_beacon(), serversChanged, now);
    else
        this->serversSkipped = this->serversSkipped || serversChanged;
    bool hasConfiguration = this->replica.isCurrent(coordination::configurationGroup);
    if (hasConfiguration && this->callbacks.onConfiguration)
        this->callbacks.onConfiguration(
            coordination::decodeText(this->replica.contents(coordination::configurationGroup)));
    if (this->replica.takeChange(coordination::evacuationGroup))
        this->applyEvacuations();
    this->applying = false;
}

void ReceivedState::applyServerGroup(bool hasBeacon, bool changed, TimePoint now)
{
    bool complete = this->replica.isCurrent(coordination::serverGroup);
    // A list in progress is used from its first part on, unless the host has none yet.
    bool isFirst = complete && !this->hasServers;
    this->hasServers = this->hasServers || complete;
    if (this->hasServers && (isFirst || changed || this->serversSkipped)) {
        this->serversSkipped = false;
        this->applyServers(true);
    }
    // The list of a coordinator that does not reach the store is stale. Hosts then read the store themselves, and
    // report whether they reach it.
    if (hasBeacon && complete && this->listAge.confirm(now))
        this->applyServers(false);
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
    this->serversSkipped = false;
    this->replica.assign(coordination::serverGroup, coordination::encodeServers(listed));
}

void ReceivedState::assignConfiguration(const std::string& text)
{
    if (!this->applying)
        this->replica.assign(coordination::configurationGroup, coordination::encodeText(text));
}

}
