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
    //! Called with the begin of each read whose list is used, before that list.
    using ReadCallback = std::function<void(TimePoint started)>;

    ServerWatcher(net::Reactor& reactor, store::RowStore& store, timeline::EventLog& events, Duration readInterval,
        ChangeCallback changed, ReadCallback read);

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
    void applyRows(const store::RowSet& rowSet, TimePoint readStarted);
    void logChanges(const fleet::ServerMap& before, bool fromCoordinator) const;

    net::Reactor& reactor;
    store::RowStore& store;
    timeline::EventLog& events;
    Duration readInterval;
    ChangeCallback changed;
    ReadCallback read;
    fleet::ServerDirectory directory;
    std::map<std::string, store::RowVersion> rejectedEntries; //!< malformed entries that are already in the log
    TimePoint lastStoreResponse {};
    bool polling = false;
    bool readInProgress = false;
    std::uint64_t readNumber = 0;
    bool storeLost = false;
};

}
