#pragma once

#include "client/ConnectionPool.h"

#include <functional>
#include <list>

namespace sequoia::client {

//! A short request with its whole body.
struct Call {
    std::string method;
    std::string target;
    std::string contentType;
    std::string body;
    http::Headers headers {};
};

struct CallResponse {
    unsigned status = 0;
    http::Headers headers;
    std::string body;
};

//! Short calls with a time limit. Errors: Unavailable (nothing was sent) and OutcomeUnknown.
class CallClient {
public:
    using Callback = std::function<void(Result<CallResponse>)>;

    CallClient(net::Reactor& reactor, Duration idleLimit);
    ~CallClient();

    CallClient(const CallClient&) = delete;
    CallClient& operator=(const CallClient&) = delete;

    void call(const std::string& address, const Call& call, Duration limit, Callback callback);
    void closeIdle() { this->pool.closeIdle(); }

private:
    class Pending;

    void finish(Pending& pending, Result<CallResponse> result);

    net::Reactor& reactor;
    ConnectionPool pool;
    std::list<std::unique_ptr<Pending>> pendingCalls;
};

}
