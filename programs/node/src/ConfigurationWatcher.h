#pragma once

#include "fleet/Configuration.h"
#include "net/Reactor.h"
#include "store/RowStore.h"
#include "timeline/EventLog.h"

#include <functional>
#include <memory>

namespace sequoia::node {

//! Keeps the newest configuration: follows its row and never goes back to an older version.
class ConfigurationWatcher {
public:
    using Changed = std::function<void(std::shared_ptr<const fleet::Configuration>)>;

    ConfigurationWatcher(net::Reactor& reactor, store::RowStore& store, timeline::EventLog& events, Changed changed);

    void start();
    //! Whether the coordinator tells the newest version, so that this host can follow the row with long waits.
    void setCoordinatorHeard(bool heard);
    //! The coordinator has this version.
    void hint(std::uint64_t version);
    const std::shared_ptr<const fleet::Configuration>& current() const { return this->configuration; }
    //! Time of the last answer of the store.
    TimePoint lastContact() const { return this->lastAnswer; }

private:
    void readAll();
    void follow();
    void retry(const Error& error);
    void take(const store::RowPage& page);

    net::Reactor& reactor;
    store::RowStore& store;
    timeline::EventLog& events;
    Changed changed;
    std::shared_ptr<const fleet::Configuration> configuration;
    store::RowVersion position = 0;
    bool coordinatorHeard = false;
    bool following = false;
    bool reading = false;
    TimePoint lastRead {};
    bool complete = false; //!< the table was read, so that its changes can be followed
    TimePoint lastAnswer {};
    bool storeLost = false;
    unsigned failures = 0; //!< in a row
};

}
