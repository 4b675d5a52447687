#include "ServerSessions.h"

#include <algorithm>

namespace sequoia::ownership {

ServerSessions::ServerSessions(const SessionTiming& timing, TimePoint holderSince)
    : timing(timing)
    , holderSince(holderSince)
{
}

ServerSession& ServerSessions::open(const std::string& server)
{
    return this->sessions.try_emplace(server, server, this->timing, this->holderSince).first->second;
}

ServerSession* ServerSessions::find(const std::string& server)
{
    auto found = this->sessions.find(server);
    return found == this->sessions.end() ? nullptr : &found->second;
}

const ServerSession* ServerSessions::find(const std::string& server) const
{
    auto found = this->sessions.find(server);
    return found == this->sessions.end() ? nullptr : &found->second;
}

bool ServerSessions::areFencedOrExpired(TimePoint now) const
{
    return std::all_of(this->sessions.begin(), this->sessions.end(),
        [&](const auto& entry) { return entry.second.isFencedOrExpired(now); });
}

bool ServerSessions::mayOtherHold(const HashRange& range, const std::string& server, TimePoint now) const
{
    return std::any_of(this->sessions.begin(), this->sessions.end(),
        [&](const auto& entry) { return entry.first != server && entry.second.mayHold(range, now); });
}

std::uint64_t ServerSessions::changeCount() const
{
    std::uint64_t sum = this->sessions.size();
    for (const auto& [server, session] : this->sessions)
        sum += session.changeCount();
    return sum;
}

bool ServerSessions::isReleasing(const HashRange& range) const
{
    return std::any_of(this->sessions.begin(), this->sessions.end(),
        [&](const auto& entry) { return entry.second.isReleasing(range); });
}

}
