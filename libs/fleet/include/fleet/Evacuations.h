#pragma once

#include "fleet/ServerEntry.h"

#include <cstdint>
#include <set>
#include <string>

namespace sequoia::fleet {

//! Data centres whose backend servers get no requests, as the operators asked for, as of a version of the store.
struct EvacuationState {
    std::uint64_t version = 0;
    std::set<std::string> dataCentres;
};

//! Keeps the newest state of the evacuations among those that the host reads itself and gets from other hosts.
class Evacuations {
public:
    //! Takes a complete state unless it is older than the current one. Returns whether the data centres changed.
    bool update(const EvacuationState& newer);
    //! Takes the start or the end of one evacuation. Returns whether the data centres changed.
    bool change(const std::string& dataCentre, bool evacuated, std::uint64_t version);
    const EvacuationState& state() const { return this->current; }
    bool contains(const std::string& dataCentre) const { return this->current.dataCentres.contains(dataCentre); }
    //! Marks the servers of the data centres as draining, so that they lose their keys with hand-over and get no jobs.
    void apply(ServerMap& servers) const;

private:
    EvacuationState current;
};

}
