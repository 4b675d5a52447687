#pragma once

#include "core/Clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

namespace sequoia::fleet {

//! One run of a backend server process. A restarted server may use the same id again, but has lost all its state.
struct ServerInstance {
    std::string id;
    std::int64_t startMillis = 0; //!< start of the process, Unix time

    bool operator==(const ServerInstance&) const = default;
    bool operator<(const ServerInstance& other) const
    {
        return std::tie(this->id, this->startMillis) < std::tie(other.id, other.startMillis);
    }
};

enum class ServerState {
    Ready,
    Draining, //!< Completes its requests and accepts no new ones.
};

//! Registration of a backend server, as it published it.
struct ServerEntry {
    ServerInstance instance;
    std::string service;
    std::string address;
    std::string dataCentre;
    std::uint32_t slots = 1; //!< number of requests that it processes concurrently
    ServerState state = ServerState::Ready;
    Duration warmupLeft {}; //!< remaining time for which it is slow after its start
    bool cold = false; //!< The coordinator limits its requests, so that hosts must not place jobs on it themselves.

    bool operator==(const ServerEntry&) const = default;
};

//! Backend servers by id.
using ServerMap = std::map<std::string, ServerEntry, std::less<>>;

}
