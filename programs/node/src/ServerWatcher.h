#pragma once

#include "fleet/ServerDirectory.h"
#include "net/Reactor.h"
#include "store/RowStore.h"
#include "timeline/EventLog.h"

#include <functional>
#include <map>
#include <string>

namespace sequoia::node {

//! Reads the list of backend servers periodically. Each heartbeat changes an entry, so following the table would return
//! immediately every time and cost more.
class ServerWatcher {
public:
    using ChangeCallback = std::function<void(const fleet::ServerMap&)>;

    ServerWatcher(net::Reactor& reactor, store::RowStore& store, timeline::EventLog& events, ChangeCallback changed);

    //! Sets whether this host polls the store, which it does not at first. If not, it receives the list from the
    //! coordinator.
    void setPolling(bool polling);
    //! Takes a list from the coordinator.
    void applyCoordinatorList(const fleet::ServerMap& listedServers);
    //! The coordinator has confirmed that the list is unchanged.
    void confirmCoordinatorList();
    const fleet::ServerMap& servers() const { return this->directory.servers(); }
    TimePoint lastStoreContact() const { return this->lastStoreResponse; }

private:
    void readAll();
    void scheduleRead(TimePoint when);
    void publish(const fleet::ServerMap& before, bool fromCoordinator);
    void applyRows(const store::RowSet& rowSet);
    void logChanges(const fleet::ServerMap& before, bool fromCoordinator) const;

    net::Reactor& reactor;
    store::RowStore& store;
    timeline::EventLog& events;
    ChangeCallback changed;
    fleet::ServerDirectory directory;
    std::map<std::string, store::RowVersion> rejectedEntries; //!< malformed entries that are already in the log
    TimePoint lastStoreResponse {};
    bool polling = false;
    bool readScheduled = false;
    bool storeLost = false;
};

}
