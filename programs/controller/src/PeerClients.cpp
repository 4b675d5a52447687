#include "PeerClients.h"

namespace sequoia::controller {

namespace {

//! Longer than any call takes, so that no call is cancelled by the removal of its client.
constexpr Duration maxIdle = std::chrono::seconds(60);

}

rpc::Client& PeerClients::at(const std::string& address, TimePoint now)
{
    auto& entry = this->entries[address];
    if (!entry.client)
        entry.client = std::make_unique<rpc::Client>(address);
    entry.lastUsed = now;
    return *entry.client;
}

void PeerClients::prune(TimePoint now)
{
    std::erase_if(this->entries, [now](const auto& entry) { return now - entry.second.lastUsed > maxIdle; });
}

}
