#pragma once

#include "core/Error.h"
#include "httpio/BodyPipe.h"
#include "httpio/Headers.h"

#include <functional>
#include <map>
#include <memory>

namespace sequoia::httpio {

//! A request as it goes to a backend server.
struct BackendRequest {
    std::string method;
    std::string address; //!< IP:port
    std::string target; //!< Path and query, as the caller wrote them.
    HeaderList headers;
    std::string requestId; //!< Sent, and expected in the response.
    std::shared_ptr<BodyPipe> body; //!< Null without a body.
    std::optional<std::uint64_t> bodyLength; //!< Unset for a chunked body.
    //! Whether the request may go over a connection that was used before.
    bool reuseConnection = false;
    //! Asked immediately before the first byte; false makes the attempt fail without sending.
    std::function<bool()> maySend;
};

//! Head of a server's response.
struct ResponseHead {
    unsigned status = 0;
    std::string reason;
    HeaderList headers;
    std::optional<std::uint64_t> bodyLength; //!< Unset for a body of unknown length.
    bool hasBody = false;
};

//! What happens to an attempt, on the task of the client. One of onComplete, onConnectionFailed,
//! onConnectionLost, onBadResponse and onRejected is the last call; none comes during send() or abort().
class AttemptListener {
public:
    virtual ~AttemptListener() = default;
    virtual void onFirstByteSent() = 0;
    virtual void onRequestSent() = 0;
    virtual void onHead(const ResponseHead& head) = 0;
    virtual void onChunk(Bytes chunk) = 0;
    virtual void onComplete() = 0;
    //! No byte of the request was sent.
    virtual void onConnectionFailed(const std::string& reason) = 0;
    virtual void onConnectionLost(const std::string& reason) = 0;
    virtual void onBadResponse(const std::string& reason) = 0;
    //! The server reported that it did not start the request.
    virtual void onRejected(unsigned status) = 0;
};

//! One attempt in progress. Destroying it aborts it.
class BackendAttempt {
public:
    virtual ~BackendAttempt() = default;
    //! Asks for the next chunk of the response, after onHead or onChunk.
    virtual void readMore() = 0;
};

//! HTTP client of one worker for the backend servers of one service. Used on one task only. It repeats no
//! request, follows no redirect, keeps no cookies and decodes no content.
class BackendClient {
public:
    //! Bounds the connections to each backend server.
    explicit BackendClient(unsigned maxConnectionsPerServer);
    ~BackendClient();

    BackendClient(const BackendClient&) = delete;
    BackendClient& operator=(const BackendClient&) = delete;

    std::unique_ptr<BackendAttempt> send(BackendRequest request, std::shared_ptr<AttemptListener> listener);

private:
    class Connections;

    ObjectPointer<SoupSession> session;
    std::shared_ptr<Connections> connections;

    class Attempt;
    class AttemptHandle;
};

}
