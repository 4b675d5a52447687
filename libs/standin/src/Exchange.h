#pragma once

#include "GlibPtr.h"
#include "core/KeyHash.h"
#include "runtime/Task.h"

#include <functional>
#include <libsoup/soup.h>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <xxhash.h>

namespace sequoia::standin {

class StandInServer;

//! What the head of a request says.
struct RequestHead {
    std::string service;
    std::string key;
    std::string requestId;
    std::string idempotencyKey;
    std::string sliceEpoch;
    std::string path; //!< with query
    std::optional<std::int64_t> deadlineMs;
    bool isWrite = false;
    std::uint64_t readSize = 0;
};

//! The head of a message, or the reason why it is no valid request.
struct ParsedHead {
    RequestHead head;
    std::string mistake;
};

ParsedHead parseHead(SoupServerMessage* message, std::string_view path, GHashTable* query);

//! Finds a marker in a body that arrives in parts.
class MarkerSearch {
public:
    bool add(std::string_view marker, std::string_view part);

private:
    std::string tail;
};

//! One request from its head to the end of its response.
struct Exchange {
    enum class State {
        Waiting, //!< for a slot
        Receiving, //!< has a slot; the body arrives
        Running,
        Discarding, //!< refused; the rest of the body arrives before the response can be sent
        Answering,
    };

    Exchange(StandInServer& owner, std::uint64_t exchangeNumber, SoupServerMessage* soupMessage, RequestHead parsed);
    ~Exchange();

    Exchange(const Exchange&) = delete;
    Exchange& operator=(const Exchange&) = delete;

    void pause();
    void resume();

    //! Calls `closed` when the caller closes the connection before it gets the response.
    void watchConnection(std::function<void()> closed);

    StandInServer& server;
    std::uint64_t number;
    ObjectPtr<SoupServerMessage> message;
    RequestHead head;
    KeyHash hash;
    State state = State::Waiting;
    bool paused = false;
    bool bodyPending = false; //!< the body was not received completely yet
    guint refusalStatus = 0;
    std::string refusalBody;
    std::optional<std::uint64_t> token; //!< of ServerGrants
    std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> bodyHash;
    std::uint64_t bodyLength = 0;
    std::uint64_t answered = 0; //!< bytes of the response that are handed to libsoup
    MarkerSearch poison;
    std::unique_ptr<runtime::Timer> serviceTimer;
    std::unique_ptr<runtime::Timer> deadlineTimer;

private:
    void stopWatching();

    GSource* closeWatch = nullptr;
    std::function<void()> onClosed;
};

}
