#pragma once

#include "core/Clock.h"
#include "rpc/Client.h"

#include <map>
#include <memory>
#include <string>

namespace sequoia::controller {

//! One gRPC client per controller address. Used on one task.
class PeerClients {
public:
    //! Valid until prune() or destruction.
    rpc::Client& at(const std::string& address, TimePoint now);

    //! Drops the clients that have not been used for a while.
    void prune(TimePoint now);

private:
    struct Entry {
        std::unique_ptr<rpc::Client> client;
        TimePoint lastUsed;
    };

    std::map<std::string, Entry> entries;
};

}
