#pragma once

#include "fleet/ServerEntry.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace sequoia::fleet {

//! Data centres whose backend servers get no requests, as the operators asked for, as of a version of the store.
struct EvacuationState {
    std::uint64_t version = 0;
    std::set<std::string> dataCentres;

    bool operator==(const EvacuationState&) const = default;
};

//! A row by which the operators start an evacuation, or the removal of this row.
struct EvacuationRow {
    std::string dataCentre;
    bool removed = false;
    std::uint64_t version = 0;
};

//! Keeps the newest state of the evacuations among those that the host reads itself and gets from other hosts.
class Evacuations {
public:
    //! Takes a complete state unless it is older than the current one. Returns whether the data centres changed.
    bool update(const EvacuationState& newer);
    //! Takes all rows as of a version of the store. Returns whether the state changed, including its version.
    bool replaceRows(const std::vector<EvacuationRow>& rows, std::uint64_t storeVersion);
    //! Takes changed rows. Returns whether the state changed, including its version.
    bool changeRows(const std::vector<EvacuationRow>& rows);
    const EvacuationState& state() const { return this->current; }
    bool contains(const std::string& dataCentre) const { return this->current.dataCentres.contains(dataCentre); }
    //! Marks the servers of the data centres as draining, so that they lose their keys with hand-over and get no jobs.
    void apply(ServerMap& servers) const;
    //! Returns the services whose servers are all evacuated, or draining besides.
    std::set<std::string> servicesWithoutServers(const ServerMap& servers) const;

private:
    EvacuationState current;
};

}
