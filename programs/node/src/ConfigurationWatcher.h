#pragma once

#include "fleet/Configuration.h"
#include "fleet/Evacuations.h"
#include "net/Reactor.h"
#include "store/RowStore.h"
#include "timeline/EventLog.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace sequoia::node {

//! Follows the configuration's row in the store and keeps the newest version. Never returns to an older one.
class ConfigurationWatcher {
public:
    //! `text` is the configuration as stored.
    using ChangeCallback
        = std::function<void(const std::shared_ptr<const fleet::Configuration>&, const std::string& text)>;

    using EvacuationCallback = std::function<void(const fleet::EvacuationState&, bool fromCoordinator)>;

    //! Where the newest configuration comes from.
    enum class Source {
        Coordinator, //!< The coordinator reaches the store and sends each change.
        StoreWithCoordinator, //!< The coordinator is alive, but may not reach the store.
        Store,
    };

    ConfigurationWatcher(
        net::Reactor& reactor, store::RowStore& store, timeline::EventLog& events, ChangeCallback changed);

    //! Sets the callback for evacuations, which are rows of the same table. Without it, these rows are ignored.
    void setEvacuationCallback(EvacuationCallback callback) { this->evacuationsChanged = std::move(callback); }
    void start();
    void setSource(Source source);
    //! Reads the row if the coordinator has announced a newer version than the current one for a while.
    void onVersionAnnounced(std::uint64_t version);
    //! Whether the coordinator has announced a newer version than the current one.
    bool lacksAnnouncedVersion() const { return this->missingSince.has_value(); }
    //! Takes a configuration from the coordinator.
    void applyReceived(const std::string& text);
    //! Takes the evacuations as the coordinator knows them, unless this host knows a newer state.
    void applyReceivedEvacuations(const fleet::EvacuationState& received);
    const std::shared_ptr<const fleet::Configuration>& current() const { return this->configuration; }
    std::size_t evacuatedDataCentres() const { return this->evacuations.state().dataCentres.size(); }
    //! When the store last answered.
    TimePoint lastStoreContact() const { return this->lastStoreResponse; }

private:
    void readAll();
    void follow();
    void retry(const Error& error);
    //! `complete` if the rows are the whole table, and not only its changes.
    void applyRows(const store::RowSet& rowSet, bool complete);
    void applyEvacuations(const store::RowSet& rowSet, bool complete);
    void applyText(const std::string& text, const std::string& origin);

    net::Reactor& reactor;
    store::RowStore& store;
    timeline::EventLog& events;
    ChangeCallback changed;
    EvacuationCallback evacuationsChanged;
    fleet::Evacuations evacuations;
    std::shared_ptr<const fleet::Configuration> configuration;
    store::RowVersion lastStoreVersion = 0;
    Source source = Source::Store;
    bool coordinatorSeen = false; //!< before, at the start of all hosts, one is expected within a second
    std::string lastReceivedText;
    std::optional<TimePoint> missingSince; //!< when a version that this host lacks was first announced
    bool waitInProgress = false;
    bool readInProgress = false;
    TimePoint lastRead {};
    bool hasReadTable = false; //!< whether the table has been read, so that its changes can be followed
    TimePoint lastStoreResponse {};
    bool storeLost = false;
    unsigned failures = 0; //!< consecutive ones
};

}
