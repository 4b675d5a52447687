#pragma once

#include "core/Error.h"
#include "httpio/BackendClient.h"
#include "httpio/BodyPipe.h"
#include "httpio/Headers.h"

#include <memory>

namespace sequoia::httpio {

//! What happens to a caller's request after it was received.
class ExchangeListener {
public:
    virtual ~ExchangeListener() = default;
    //! The last chunk of the response has been written; the next one is wanted.
    virtual void onChunkWritten() = 0;
    //! The caller closed the connection before it got the whole response. The last call.
    virtual void onCallerGone() = 0;
    //! The caller's body is larger than the limit.
    virtual void onBodyTooLarge() = 0;
};

//! One request of a caller and the response to it.
class CallerExchange {
public:
    virtual ~CallerExchange() = default;

    virtual const std::string& method() const = 0;
    //! Path and query, as the caller wrote them.
    virtual const std::string& target() const = 0;
    virtual SoupMessageHeaders* headers() const = 0;
    //! Whether the caller understands a chunked response.
    virtual bool acceptsChunked() const = 0;
    //! Null when the request has no body.
    virtual std::shared_ptr<BodyPipe> body() const = 0;
    //! Unset for a chunked body.
    virtual std::optional<std::uint64_t> bodyLength() const = 0;
    virtual void setBodyLimit(std::uint64_t bytes) = 0;

    virtual void setListener(std::weak_ptr<ExchangeListener> listener) = 0;

    //! A whole response. When the request body has not been read yet, it is read and dropped first.
    virtual void respond(unsigned status, const HeaderList& headers, const std::string& body) = 0;
    //! As respond(), without waiting for the rest of the request body; closes the connection.
    virtual void respondNow(unsigned status, const HeaderList& headers, const std::string& body) = 0;

    virtual void startResponse(const ResponseHead& head, const HeaderList& additional) = 0;
    virtual void sendChunk(Bytes chunk) = 0;
    virtual void completeResponse() = 0;
    //! Closes the connection, so that the caller sees that the response is incomplete.
    virtual void abortResponse() = 0;
};

//! Gets the requests of callers.
class CallerHandler {
public:
    virtual ~CallerHandler() = default;
    //! Called when the headers have arrived, and before the body.
    virtual void onRequest(std::shared_ptr<CallerExchange> exchange) = 0;
};

//! HTTP server of one worker, on a listening socket of its own that shares the port with other workers. Used
//! on one task only.
class CallerServer {
public:
    explicit CallerServer(CallerHandler& handler);
    ~CallerServer();

    CallerServer(const CallerServer&) = delete;
    CallerServer& operator=(const CallerServer&) = delete;

    //! Listens on IP:port; port 0 picks a free one.
    Result<Success> listen(const std::string& address);
    int port() const;

    //! Requests received whose response has not been written to its end.
    std::size_t exchangesInProgress() const;

    //! Takes in the connections that wait to be accepted, then closes the listening socket.
    void stopAccepting();

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

}
