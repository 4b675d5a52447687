#pragma once

#include "ServerSession.h"

#include <map>
#include <string>

namespace sequoia::ownership {

//! The sessions of one term, one for each backend server that the record or the host list names.
class ServerSessions {
public:
    ServerSessions(const SessionTiming& timing, TimePoint holderSince);

    ServerSession& open(const std::string& server);
    ServerSession* find(const std::string& server);
    const ServerSession* find(const std::string& server) const;

    auto begin() { return this->sessions.begin(); }
    auto end() { return this->sessions.end(); }
    auto begin() const { return this->sessions.begin(); }
    auto end() const { return this->sessions.end(); }

    //! Whether every server is fenced or gone, or its lease has expired, so that none serves under an older term
    //! without the holder knowing.
    bool areFencedOrExpired(TimePoint now) const;
    //! Whether a server other than `server` may hold a part of the range.
    bool mayOtherHold(const HashRange& range, const std::string& server, TimePoint now) const;
    //! Increases whenever the slices that a server holds or may hold change.
    std::uint64_t changeCount() const;
    bool isReleasing(const HashRange& range) const;

private:
    SessionTiming timing;
    TimePoint holderSince;
    std::map<std::string, ServerSession> sessions;
};

}
