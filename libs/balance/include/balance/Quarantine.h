#pragma once

#include "core/Clock.h"

#include <cstdint>
#include <map>
#include <string>

namespace sequoia::balance {

//! Detects requests that crash backend servers, by their fingerprints. A server that refuses connections shortly after
//! it lost jobs is taken for crashed, and the crash counts against each fingerprint that it lost.
class Quarantine {
public:
    //! The server lost a job with this fingerprint without a complete answer.
    void recordLoss(std::uint64_t fingerprint, const std::string& server, TimePoint now);
    //! The server refuses connections, or has restarted.
    void recordCrash(const std::string& server, TimePoint now);
    bool isQuarantined(std::uint64_t fingerprint) const;
    void removeExpired(TimePoint now);

private:
    struct Suspect {
        unsigned crashes = 0;
        TimePoint lastSeen {};
    };
    struct Loss {
        std::uint64_t fingerprint;
        std::string server;
        TimePoint time;
    };

    std::map<std::uint64_t, Suspect> suspects;
    std::multimap<std::string, Loss> losses;
};

}
