#pragma once

#include "http/MessageParser.h"
#include "net/TcpStream.h"

#include <memory>
#include <optional>
#include <string>

namespace sequoia::client {

//! Why a request got no complete response.
enum class RequestFailure {
    ConnectFailed, //!< The connection could not be established.
    ConnectionLost, //!< The connection closed before the response was complete.
    MalformedResponse, //!< The bytes are not an HTTP response, or belong to another request.
};

//! What a response head means for the request that is waiting for its response.
enum class ResponseMatch {
    Accept,
    Skip, //!< The response belongs to an earlier request.
    Reject, //!< The head is not that of a valid response; the request fails without waiting for the body.
};

//! Receives the response to one request. No callback follows a failure or the end of the response.
class RequestObserver {
public:
    virtual ~RequestObserver() = default;
    //! The connection is established; the request is being sent.
    virtual void onSending() { }
    virtual ResponseMatch matchResponse(const http::MessageHead& head) = 0;
    //! Body bytes; the first call carries the response head. `complete` marks the end of the response.
    virtual void onResponse(const http::MessageHead& head, std::string_view bytes, bool complete) = 0;
    virtual void onFailure(RequestFailure failure, const std::string& reason) = 0;
    //! All written bytes have been sent; more of the body may be written.
    virtual void onDrained() { }
};

//! Notified when a connection has finished its request.
class ConnectionOwner {
public:
    virtual ~ConnectionOwner() = default;
    //! `reusable` is false when the connection is closed or must not be reused.
    virtual void onRequestEnd(class ClientConnection& connection, bool reusable) = 0;
    //! An idle connection was closed by its peer.
    virtual void onIdleClosed(class ClientConnection& connection) = 0;
};

//! An HTTP/1.1 client connection with one request at a time.
class ClientConnection final : private net::StreamObserver {
public:
    ClientConnection(net::Reactor& reactor, const net::SocketAddress& address, ConnectionOwner& owner);
    ~ClientConnection() override;

    //! Starts a request; the connection must be idle. Up to `responseBuffer` bytes of the response body are buffered
    //! before they are forwarded, so that short responses are delivered completely or not at all.
    //! `tag` identifies the request to the server, which repeats it in its response.
    void startRequest(std::string_view bytes, bool withoutResponseBody, std::size_t responseBuffer,
        RequestObserver& observer, const std::string& tag = {});
    //! Tag of the last request. A second copy of its response cannot be told from the response to a request with the
    //! same tag.
    const std::string& lastTag() const { return this->tag; }
    //! Whether an earlier request was sent on this connection, of which more bytes may still arrive.
    bool isReused() const { return this->startedRequests > 1; }
    //! Sends more bytes of the request.
    void write(std::string_view bytes);
    //! The request is written completely. After a response that arrives earlier, the connection is not reused.
    void finishRequest() { this->requestComplete = true; }
    //! Cancels the request without a callback and closes the connection.
    void abort();
    //! Like abort(), but discards bytes that have not been sent yet.
    void reset();
    void setReading(bool enabled) { this->stream.setReading(enabled); }
    std::size_t unsentBytes() const { return this->stream.unsentBytes(); }
    //! Memory of received bytes that were not forwarded yet.
    std::size_t inputMemory() const { return this->stream.inputMemory() + this->body.size(); }
    std::size_t outputMemory() const { return this->stream.outputMemory(); }
    bool isConnected() const { return this->stream.isConnected(); }

    bool isUsable() const { return this->stream.isConnected() && !this->stream.hasPendingInput(); }
    TimePoint idleSince() const { return this->idleStart; }
    //! Idle timeout that the peer announced in its last response; zero if it announced none.
    Duration keepAliveTimeout() const { return this->keepAlive; }

private:
    void onConnected() override;
    void onInput() override;
    void onDrained() override;
    void onEnd(net::StreamEnd end) override;

    void checkHead();
    void checkUnparsedInput();
    void onHeadTimeout();
    void cancelHeadTimer();
    bool endResponse();
    void forwardBody(bool complete);
    void complete();
    void fail(RequestFailure failure, const std::string& reason);
    void endRequest(bool reusable);

    net::Reactor& reactor;
    ConnectionOwner& owner;
    std::string address;
    net::TcpStream stream;
    RequestObserver* observer = nullptr;
    std::unique_ptr<http::MessageParser> parser;
    std::string body;
    bool withoutResponseBody = false;
    std::size_t responseBuffer = 0;
    bool requestComplete = false;
    bool headChecked = false;
    bool skipping = false;
    unsigned skipped = 0;
    std::size_t skippedBytes = 0;
    std::optional<net::Reactor::TimerId> headTimer; //!< runs while a head is incomplete
    std::string tag;
    std::uint64_t startedRequests = 0;
    bool streaming = false; //!< part of the response has been forwarded
    Duration keepAlive {};
    TimePoint idleStart {};
};

}
