#include "balance/Quarantine.h"

namespace sequoia::balance {

namespace {

// A crashed server refuses connections at once; later refusals have another cause.
constexpr Duration crashDetectionWindow = std::chrono::milliseconds(1500);
// Number of crashes after which a request is not sent to any further server.
constexpr unsigned quarantineThreshold = 3;
constexpr Duration suspectRetention = std::chrono::minutes(10);

}

void Quarantine::recordLoss(std::uint64_t fingerprint, const std::string& server, TimePoint now)
{
    if (fingerprint != 0)
        this->losses.emplace(server, Loss { fingerprint, server, now });
}

void Quarantine::recordCrash(const std::string& server, TimePoint now)
{
    auto [begin, end] = this->losses.equal_range(server);
    for (auto loss = begin; loss != end; ++loss) {
        if (now - loss->second.time > crashDetectionWindow)
            continue;
        auto& suspect = this->suspects[loss->second.fingerprint];
        ++suspect.crashes;
        suspect.lastSeen = now;
    }
    this->losses.erase(begin, end);
}

bool Quarantine::isQuarantined(std::uint64_t fingerprint) const
{
    auto found = this->suspects.find(fingerprint);
    return found != this->suspects.end() && found->second.crashes >= quarantineThreshold;
}

void Quarantine::removeExpired(TimePoint now)
{
    std::erase_if(this->losses, [&](const auto& entry) { return now - entry.second.time > crashDetectionWindow; });
    std::erase_if(this->suspects, [&](const auto& entry) { return now - entry.second.lastSeen > suspectRetention; });
}

}
