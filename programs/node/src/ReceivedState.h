#pragma once

#include "coordination/StateReplica.h"
#include "fleet/Evacuations.h"
#include "fleet/ServerEntry.h"
#include "fleet/ServerListAge.h"
#include "timeline/EventLog.h"

#include <functional>
#include <string>

namespace sequoia::node {

//! This host's copy of what the coordinator knows: backend servers, owners of keys, and the configuration.
class ReceivedState {
public:
    struct Callbacks {
        //! A received or confirmed list of servers, and whether it changed.
        std::function<void(const fleet::ServerMap&, bool changed)> onServers;
        std::function<void(const std::string& text)> onConfiguration;
        std::function<void(const fleet::EvacuationState&)> onEvacuations;
        std::function<void(const std::string& service, const std::vector<std::string>& buckets)> onOwners;
    };

    ReceivedState(timeline::EventLog& events, const fleet::ServerListTimes& times);

    void setCallbacks(Callbacks callbacks) { this->callbacks = std::move(callbacks); }
    //! `ownersOnly` is set on the coordinator's own host, which reads the rest from the store.
    void apply(const wire::Datagram& datagram, bool ownersOnly, TimePoint now);
    //! Records what this host has read from the store, so that the coordinator does not send it again.
    void assignServers(const fleet::ServerMap& servers);
    void assignConfiguration(const std::string& text);
    void fillRequests(wire::Report& report) { this->replica.fillRequests(report); }
    //! This host has read the list of servers from the store; the call began at `started`.
    void recordOwnRead(TimePoint started) { this->listAge.recordOwnRead(started); }
    //! Whether the list of servers was confirmed recently and is not too old.
    bool isCurrent(TimePoint now) const { return this->listAge.isCurrent(now); }
    //! Whether this host's list of servers is used instead of the coordinator's older one.
    bool prefersOwnList(TimePoint now) const { return !this->listAge.acceptsCoordinatorList(now); }

private:
    void applyServerGroup(bool hasBeacon, bool changed, TimePoint now);
    void applyServers(bool changed);
    void applyEvacuations();

    timeline::EventLog& events;
    Callbacks callbacks;
    coordination::StateReplica replica;
    fleet::ServerMap servers;
    bool hasServers = false; //!< the list was complete once
    bool applying = false;
    bool serversSkipped = false; //!< the replica has a list of the coordinator that is not in use
    fleet::ServerListAge listAge;
};

}
