#include "client/ClientConnection.h"

#include <cassert>
#include <charconv>

namespace sequoia::client {

namespace {

constexpr std::uint32_t maxHeaderBytes = 64 * 1024;
// After more responses to other requests than this, or more bytes of them, the connection fails.
constexpr unsigned maxSkippedResponses = 3;
constexpr std::size_t maxSkippedBytes = std::size_t { 1024 } * 1024;
// A response head that has begun arrives within this time.
constexpr Duration headTimeout = std::chrono::seconds(2);
// Longer idle times of servers are cut off; no connection is kept that long, and sums of them would overflow.
constexpr std::chrono::seconds maxKeepAlive = std::chrono::hours(1);

Duration keepAliveOf(const http::Headers& headers)
{
    const auto* value = headers.find("Keep-Alive");
    if (!value)
        return {};
    auto at = value->find("timeout=");
    if (at == std::string::npos)
        return {};
    std::int64_t seconds = 0;
    const char* begin = value->data() + at + std::string_view("timeout=").size();
    auto status = std::from_chars(begin, value->data() + value->size(), seconds).ec;
    if (status == std::errc::result_out_of_range || seconds > maxKeepAlive.count())
        return maxKeepAlive;
    return status == std::errc() && seconds > 0 ? Duration(std::chrono::seconds(seconds)) : Duration {};
}

}

ClientConnection::ClientConnection(
    net::Reactor& ownerReactor, const net::SocketAddress& target, ConnectionOwner& connectionOwner)
    : reactor(ownerReactor)
    , owner(connectionOwner)
    , address(target.toString())
    , stream(ownerReactor, target, *this)
{
}

ClientConnection::~ClientConnection()
{
    this->cancelHeadTimer();
}

void ClientConnection::startRequest(std::string_view bytes, bool noResponseBody, std::size_t buffer,
    RequestObserver& receiver, const std::string& requestTag)
{
    assert(!this->observer);
    this->tag = requestTag;
    ++this->startedRequests;
    this->observer = &receiver;
    this->parser = std::make_unique<http::MessageParser>(http::MessageType::Response, maxHeaderBytes);
    if (noResponseBody)
        this->parser->expectNoBody();
    this->withoutResponseBody = noResponseBody;
    this->responseBuffer = buffer;
    this->requestComplete = false;
    this->headChecked = false;
    this->skipping = false;
    this->skipped = 0;
    this->skippedBytes = 0;
    this->streaming = false;
    this->body.clear();
    this->stream.setReading(true);
    this->stream.write(bytes);
    if (this->stream.isConnected())
        this->observer->onSending();
}

void ClientConnection::write(std::string_view bytes)
{
    this->stream.write(bytes);
}

void ClientConnection::abort()
{
    this->cancelHeadTimer();
    this->observer = nullptr;
    this->stream.close();
    this->owner.onRequestEnd(*this, false);
}

void ClientConnection::reset()
{
    this->stream.reset();
    this->abort();
}

void ClientConnection::onConnected()
{
    if (this->observer)
        this->observer->onSending();
}

void ClientConnection::onDrained()
{
    if (this->observer)
        this->observer->onDrained();
}

void ClientConnection::onInput()
{
    if (!this->observer) {
        // Bytes that arrive without a pending request belong to no response.
        this->stream.close();
        this->owner.onIdleClosed(*this);
        return;
    }
    while (this->observer && !this->stream.input().empty()) {
        auto parsed = this->parser->parse(this->stream.input(), this->body);
        if (!succeeded(parsed)) {
            this->fail(RequestFailure::MalformedResponse, errorOf(parsed).message);
            return;
        }
        this->stream.consume(valueOf(parsed));
        if (!this->parser->isHeadComplete()) {
            if (!this->headTimer)
                this->headTimer = this->reactor.scheduleAfter(headTimeout, [this] { this->onHeadTimeout(); });
            return;
        }
        this->cancelHeadTimer();
        if (!this->headChecked)
            this->checkHead();
        if (!this->observer)
            return;
        if (this->skipping) {
            this->skippedBytes += valueOf(parsed);
            this->body.clear();
        }
        this->checkUnparsedInput();
        if (!this->observer)
            return;
        if (this->parser->complete()) {
            if (!this->endResponse())
                return;
            continue;
        }
        if (!this->skipping && this->body.size() > this->responseBuffer)
            this->forwardBody(false);
        if (valueOf(parsed) == 0)
            return;
    }
}

void ClientConnection::checkHead()
{
    this->headChecked = true;
    const auto& head = this->parser->head();
    bool informational = head.status < 200;
    auto match = informational ? ResponseMatch::Skip : this->observer->matchResponse(head);
    this->skipping = match == ResponseMatch::Skip;
    if (match == ResponseMatch::Reject) {
        this->fail(RequestFailure::MalformedResponse, "the response is not a signed response to this request");
        return;
    }
    if (!this->skipping || informational)
        return;
    if (++this->skipped > maxSkippedResponses || head.framing == http::BodyFraming::UntilClose)
        this->fail(RequestFailure::MalformedResponse, "the response belongs to another request");
}

// The parser consumes whole chunk headers and trailers, so a server that never ends one would fill the input buffer.
void ClientConnection::checkUnparsedInput()
{
    if (this->stream.input().size() > maxHeaderBytes && !this->parser->complete())
        this->fail(RequestFailure::MalformedResponse, "a chunk header or trailer is longer than the limit");
    else if (this->skippedBytes > maxSkippedBytes)
        this->fail(RequestFailure::MalformedResponse, "responses to other requests are longer than the limit");
}

void ClientConnection::onHeadTimeout()
{
    this->headTimer.reset();
    if (this->observer)
        this->fail(RequestFailure::MalformedResponse, "the response head did not arrive in time");
}

void ClientConnection::cancelHeadTimer()
{
    if (this->headTimer)
        this->reactor.cancel(*this->headTimer);
    this->headTimer.reset();
}

//! Handles the end of a response; returns whether parsing continues with the next one.
bool ClientConnection::endResponse()
{
    if (!this->skipping) {
        this->complete();
        return false;
    }
    this->parser = std::make_unique<http::MessageParser>(http::MessageType::Response, maxHeaderBytes);
    if (this->withoutResponseBody)
        this->parser->expectNoBody();
    this->headChecked = false;
    this->skipping = false;
    this->body.clear();
    return true;
}

void ClientConnection::forwardBody(bool complete)
{
    this->streaming = true;
    auto bytes = std::move(this->body);
    this->body.clear();
    this->observer->onResponse(this->parser->head(), bytes, complete);
}

void ClientConnection::complete()
{
    auto finishedParser = std::move(this->parser);
    const auto& head = finishedParser->head();
    this->keepAlive = keepAliveOf(head.headers);
    // After extra bytes, an incompletely sent request or a skipped response, the next response on this connection
    // could belong to this request.
    bool reusable = head.keepAlive && this->requestComplete && this->unsentBytes() == 0 && this->skipped == 0
        && this->stream.isConnected() && this->stream.input().empty() && head.framing != http::BodyFraming::UntilClose;
    auto* receiver = this->observer;
    auto bytes = std::move(this->body);
    this->body.clear();
    this->endRequest(reusable);
    receiver->onResponse(head, bytes, true);
}

void ClientConnection::onEnd(net::StreamEnd end)
{
    if (!this->observer) {
        this->stream.close();
        this->owner.onIdleClosed(*this);
        return;
    }
    if (end == net::StreamEnd::ConnectFailed) {
        this->fail(RequestFailure::ConnectFailed, "cannot connect to " + this->address);
        return;
    }
    if (end == net::StreamEnd::Orderly && this->parser->isHeadComplete() && !this->skipping
        && succeeded(this->parser->finish())) {
        this->complete();
        return;
    }
    this->fail(
        RequestFailure::ConnectionLost, end == net::StreamEnd::Reset ? "connection reset" : "connection closed early");
}

void ClientConnection::fail(RequestFailure failure, const std::string& reason)
{
    auto* receiver = this->observer;
    this->endRequest(false);
    receiver->onFailure(failure, reason);
}

void ClientConnection::endRequest(bool reusable)
{
    this->cancelHeadTimer();
    this->observer = nullptr;
    this->idleStart = this->reactor.now();
    if (!reusable)
        this->stream.close();
    this->owner.onRequestEnd(*this, reusable);
}

}
