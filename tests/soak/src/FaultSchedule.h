#pragma once

#include "Fleet.h"
#include "core/EnumTable.h"

#include <functional>

namespace sequoia::soak {

enum class FaultKind {
    HostStops, //!< SIGTERM; planned work
    HostReloads, //!< the settings change, and one host gets SIGHUP; planned work
    ServerDrains, //!< planned work
    ConfigurationChanges, //!< planned work
    EvacuationStarts, //!< of a data centre, withdrawn later; planned work
    HostKilled,
    AllHostsKilled,
    HostPaused,
    StoreUnavailable,
    StoreSlow,
    StoreLosesAnswers,
    StoreIsLate,
    StoreForgets,
    StoreGarbage,
    StoreLink, //!< of some hosts
    ServerCrashes,
    ServerCutFromStore,
    ServerSlow,
    ServerLosesAnswers,
    ServerSpoilsAnswers,
    ServerOrdersLate,
    ServerLink,
};

inline constexpr EnumTable<FaultKind, 22> faultKindNames { {
    { FaultKind::HostStops, "host-stops" },
    { FaultKind::HostReloads, "host-reloads" },
    { FaultKind::ServerDrains, "server-drains" },
    { FaultKind::ConfigurationChanges, "configuration-changes" },
    { FaultKind::EvacuationStarts, "evacuation-starts" },
    { FaultKind::HostKilled, "host-killed" },
    { FaultKind::AllHostsKilled, "all-hosts-killed" },
    { FaultKind::HostPaused, "host-paused" },
    { FaultKind::StoreUnavailable, "store-unavailable" },
    { FaultKind::StoreSlow, "store-slow" },
    { FaultKind::StoreLosesAnswers, "store-loses-answers" },
    { FaultKind::StoreIsLate, "store-is-late" },
    { FaultKind::StoreForgets, "store-forgets" },
    { FaultKind::StoreGarbage, "store-garbage" },
    { FaultKind::StoreLink, "store-link" },
    { FaultKind::ServerCrashes, "server-crashes" },
    { FaultKind::ServerCutFromStore, "server-cut-from-store" },
    { FaultKind::ServerSlow, "server-slow" },
    { FaultKind::ServerLosesAnswers, "server-loses-answers" },
    { FaultKind::ServerSpoilsAnswers, "server-spoils-answers" },
    { FaultKind::ServerOrdersLate, "server-orders-late" },
    { FaultKind::ServerLink, "server-link" },
} };

//! Which faults a run draws from.
enum class FaultMix {
    All,
    Planned,
    Restarts, //!< processes of hosts end and are back at once, while servers are slow
};

inline constexpr EnumTable<FaultMix, 3> faultMixNames { {
    { FaultMix::All, "all" },
    { FaultMix::Planned, "planned" },
    { FaultMix::Restarts, "restarts" },
} };

//! Draws faults from a seed and carries them out, in series and overlapping, until it is stopped.
class FaultSchedule {
public:
    using Log = std::function<void(const std::string& line)>;

    FaultSchedule(net::Reactor& reactor, Fleet& fleet, Oracle& oracle, std::uint64_t seed, FaultMix mix, Log log);

    void start();
    //! No new faults, and the end of all that last.
    void stop();
    std::size_t count() const { return this->faultCount; }

private:
    void next();
    void carryOut(FaultKind kind);
    void evacuate();
    void disturbHost(FaultKind kind, Host& host, Duration time);
    void disturbStore(FaultKind kind, Duration time);
    void disturbServer(FaultKind kind, Server& server, Duration time);
    void resume(Host& host);
    //! Undoes a fault after its time, or at the end.
    void after(Duration time, std::function<void()> undo);
    Duration drawTime(std::int64_t shortestMillis, std::int64_t longestMillis);

    net::Reactor& reactor;
    Fleet& fleet;
    Oracle& oracle;
    RandomEngine random;
    FaultMix mix;
    Log log;
    bool running = false;
    std::size_t faultCount = 0;
};

}
