#pragma once

#include "client/ConnectionPool.h"

#include <functional>
#include <list>
#include <optional>

namespace sequoia::client {

//! A request with its complete body.
struct HttpRequest {
    std::string method;
    std::string target;
    std::string contentType;
    std::string body;
    http::Headers headers {};
    //! Header in which the peer repeats the tag of a request, so that a late second copy of an earlier response is
    //! recognised. Both are empty for peers that do not repeat it.
    std::string tagHeader {};
    std::string tag {};
    std::optional<std::size_t> maxResponseBytes {}; //!< a longer response fails the request
    //! Distinguishes peers that use the same address one after the other, whose connections are kept apart; the address
    //! if empty.
    std::string peer {};
    bool onNewConnection = false; //!< no late bytes of an earlier response can be taken for this one's
};

struct HttpResponse {
    unsigned status = 0;
    http::Headers headers;
    std::string body;
};

//! Sends short requests with a timeout. Errors: Unavailable if nothing was sent, OutcomeUnknown otherwise.
class HttpClient {
public:
    using Callback = std::function<void(Result<HttpResponse>)>;

    HttpClient(net::Reactor& reactor, Duration idleTimeout);
    ~HttpClient();

    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    void send(const std::string& address, const HttpRequest& request, Duration timeout, Callback callback);
    void closeExpired() { this->pool.closeExpired(); }

private:
    class Pending;

    void finish(Pending& pending, Result<HttpResponse> result);

    net::Reactor& reactor;
    ConnectionPool pool;
    std::list<std::unique_ptr<Pending>> pendingCalls;
};

}
