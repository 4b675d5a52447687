#pragma once

#include "fleet/ServerEntry.h"

#include <functional>
#include <peer.pb.h>

namespace sequoia::node {

//! The list of backend servers as the coordinator tells it, with the coordinator's term and version.
class ToldDirectory {
public:
    //! Called with each list, and whether it has changed.
    using Told = std::function<void(const fleet::ServerMap&, bool changed)>;

    void onTold(Told callback) { this->told = std::move(callback); }
    void take(std::uint64_t term, const wire::Beacon& beacon, TimePoint now);

    std::uint64_t term() const { return this->lastTerm; }
    std::uint64_t version() const { return this->lastVersion; }
    //! Whether the list was told or confirmed lately.
    bool isCurrent(TimePoint now) const;

private:
    Told told;
    fleet::ServerMap servers;
    std::uint64_t lastTerm = 0;
    std::uint64_t lastVersion = 0;
    TimePoint lastTold {};
};

}
