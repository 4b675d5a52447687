#pragma once

#include "fleet/ServerDirectory.h"
#include "net/Reactor.h"
#include "store/RowStore.h"
#include "timeline/EventLog.h"

#include <functional>
#include <map>
#include <string>

namespace sequoia::node {

//! Reads the list of backend servers periodically. Each heartbeat changes an entry, so following the table would
//! answer at once every time and cost more.
class ServerWatcher {
public:
    using Changed = std::function<void(const fleet::ServerMap&)>;

    ServerWatcher(net::Reactor& reactor, store::RowStore& store, timeline::EventLog& events, Changed changed);

    void start();
    //! Whether this host reads the list; otherwise it is told by the coordinator.
    void setReading(bool enabled);
    //! Takes a list that the coordinator has read, or its word that nothing changed.
    void adopt(const fleet::ServerMap& listed);
    void confirm();
    const fleet::ServerMap& servers() const { return this->directory.servers(); }
    TimePoint lastContact() const { return this->lastAnswer; }

private:
    void readAll();
    void scheduleRead(TimePoint when);
    void publish(const fleet::ServerMap& before);
    void take(const store::RowPage& page);
    void logChanges(const fleet::ServerMap& before) const;

    net::Reactor& reactor;
    store::RowStore& store;
    timeline::EventLog& events;
    Changed changed;
    fleet::ServerDirectory directory;
    std::map<std::string, store::RowVersion> refused; //!< entries that were reported as unusable
    TimePoint lastAnswer {};
    bool enabled = true;
    bool scheduled = false;
    bool storeLost = false;
};

}
