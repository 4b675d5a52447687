#include "CallerConnection.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>

namespace sequoia::edge {

namespace {

// Idle connections are kept this much longer than announced, since callers use their own clocks.
constexpr Duration idleTimeoutMargin = std::chrono::seconds(2);
// A new connection has time to send its first request before a stopping host closes it.
constexpr Duration minIdleBeforeClose = std::chrono::milliseconds(500);
// Time for the caller to close its side after the last response.
constexpr Duration lingerTimeout = std::chrono::seconds(2);
// Reading stops while more bytes than this have arrived behind a request whose response is not complete.
constexpr std::size_t maxBytesBehind = std::size_t { 16 } * 1024;
// The next pipelined request is not started while more bytes of earlier responses than this are unread by the caller.
constexpr std::size_t maxUnsentBeforeNext = std::size_t { 64 } * 1024;

std::string secondsText(Duration time)
{
    std::array<char, 32> text {};
    std::snprintf(text.data(), text.size(), "%.3f", static_cast<double>(time.count()) / 1e6);
    return text.data();
}

}

CallerConnection::CallerConnection(
    EdgeContext& edgeContext, int descriptor, std::function<void(CallerConnection&)> endCallback)
    : context(edgeContext)
    , closedCallback(std::move(endCallback))
    , stream(edgeContext.reactor, descriptor, *this)
    , stageSince(edgeContext.reactor.now())
    , sentSince(this->stageSince)
    , idleSince(this->stageSince)
{
    this->startTimer(this->limits().idleTimeout + idleTimeoutMargin, true);
}

CallerConnection::~CallerConnection()
{
    if (this->timer)
        this->context.reactor.cancel(*this->timer);
    // A closed connection is destroyed later, when the server with its account may be gone.
    if (this->stream.isOpen())
        this->context.memory.remove(this->owner());
}

fleet::CallerLimits CallerConnection::limits() const
{
    return this->context.configuration ? this->context.configuration->limits : fleet::CallerLimits {};
}

void CallerConnection::startTimer(Duration limit, bool idle)
{
    if (this->timer)
        this->context.reactor.cancel(*this->timer);
    this->timer = this->context.reactor.scheduleAfter(limit, [this, idle] {
        this->timer.reset();
        this->onTimer(idle);
    });
}

void CallerConnection::onTimer(bool idle)
{
    if (!idle && !this->closing) {
        ++this->context.counters.refused;
        this->context.limitLog.count(CallerLimit::HeadTimeout);
        this->closeAfterResponse = true;
        this->sendLocalResponse(408, {}, "the header did not arrive in time");
        return;
    }
    this->close();
}

void CallerConnection::onInput()
{
    if (this->closing) {
        // Requests that arrive after the last response are discarded.
        this->stream.consume(this->stream.input().size());
        return;
    }
    this->parseInput();
}

void CallerConnection::parseInput()
{
    if (this->parsing)
        return;
    this->parsing = true;
    while (!this->closing && !this->stream.input().empty()) {
        // A pipelined request waits until the response to this one is complete, and earlier ones are read.
        if (this->requestComplete || (!this->parser && this->stream.unsentBytes() > maxUnsentBeforeNext))
            break;
        if (!this->parser) {
            this->parser
                = std::make_unique<http::MessageParser>(http::MessageType::Request, this->limits().maxHeaderBytes);
            this->headStarted = true;
            this->stageSince = this->context.reactor.now();
            this->startTimer(this->limits().headerTimeout, false);
        }
        bool hadHead = this->parser->isHeadComplete();
        std::string early;
        auto& body = this->request && !this->request->isFinished() ? this->request->body().buffer()
            : hadHead                                              ? this->discarded
                                                                   : early;
        auto parsed = this->parser->parse(this->stream.input(), body);
        this->discarded.clear();
        if (!succeeded(parsed)) {
            this->rejectMalformed(errorOf(parsed));
            break;
        }
        this->stream.consume(valueOf(parsed));
        if (!this->parser->isHeadComplete())
            break;
        if (!hadHead) {
            this->headBytes = std::min<std::size_t>(valueOf(parsed), this->limits().maxHeaderBytes);
            this->startRequest();
            if (!this->request)
                break;
            if (!this->request->isFinished())
                this->request->body().buffer().append(early);
        }
        this->requestComplete = this->parser->complete();
        if (this->request && !this->request->isFinished())
            this->request->onBody(this->requestComplete);
        this->prepareNextRequest();
        if (valueOf(parsed) == 0) {
            this->checkUnparsedInput();
            break;
        }
    }
    this->parsing = false;
    this->accountMemory();
    this->holdBackIfNeeded();
    this->updateReading();
}

// The parser consumes whole chunk headers and trailers, so a caller that never ends one would fill the input buffer.
void CallerConnection::checkUnparsedInput()
{
    if (this->closing || !this->parser || this->stream.input().size() <= this->limits().maxHeaderBytes)
        return;
    this->context.limitLog.count(CallerLimit::ChunkOverhead);
    this->close();
}

void CallerConnection::updateReading()
{
    bool bodyPaused = this->request && !this->requestComplete && this->request->shouldPauseBody();
    bool waits = this->requestComplete || (!this->parser && this->stream.unsentBytes() > maxUnsentBeforeNext);
    bool full = waits && this->stream.input().size() > maxBytesBehind;
    this->stream.setReading(this->closing || !(bodyPaused || full || (this->heldBack && this->isBodyArriving())));
}

void CallerConnection::startRequest()
{
    if (this->timer)
        this->context.reactor.cancel(*this->timer);
    this->timer.reset();
    const auto& head = this->parser->head();
    this->responseComplete = false;
    this->closeAfterResponse = !head.keepAlive;
    bool refuse = this->refusesForMemory(head);
    this->stageSince = this->context.reactor.now();
    this->stageBytes = 0;
    if (!refuse && this->continueExpected(head))
        this->stream.write("HTTP/1.1 100 Continue\r\n\r\n");
    ResponseSink& self = *this;
    this->request = std::make_unique<CallerRequest>(this->context, self, head);
    this->request->start();
    if (refuse && !this->request->isFinished()) {
        this->context.limitLog.count(CallerLimit::MemoryRefused);
        this->request->refuseUnsent(503, this->memoryRetryAfter(), "memory is short at this host");
    }
}

bool CallerConnection::continueExpected(const http::MessageHead& head) const
{
    const auto* expect = head.headers.find("Expect");
    return expect && http::equalsIgnoringCase(*expect, "100-continue");
}

void CallerConnection::rejectMalformed(const Error& error)
{
    this->closeAfterResponse = true;
    if (this->request && !this->request->isFinished()) {
        // The body is malformed: closing the backend connection makes the part already sent incomplete there.
        this->request->abandon();
        this->close();
        return;
    }
    if (this->request) {
        this->close();
        return;
    }
    bool tooLarge = error.kind == ErrorKind::InvalidArgument;
    ++this->context.counters.refused;
    this->context.limitLog.count(CallerLimit::MalformedHead);
    this->sendLocalResponse(tooLarge ? 431 : 400, {}, error.message);
    // The bytes that follow have no meaning.
    this->closeGracefully();
}

bool CallerConnection::closesAfterResponse() const
{
    return this->closeAfterResponse || this->context.stopping;
}

std::string CallerConnection::responseHead(const http::MessageHead& head, const std::string& framing, bool close)
{
    std::string text = "HTTP/1.1 " + std::to_string(head.status) + " ";
    text.append(http::reasonPhrase(head.status)).append("\r\n");
    for (const auto& field : head.headers.all()) {
        if (!http::isHopByHop(head.headers, field.name) && !http::equalsIgnoringCase(field.name, "Content-Length"))
            text.append(field.name).append(": ").append(field.value).append("\r\n");
    }
    text.append(framing);
    if (close)
        text.append("Connection: close\r\n");
    return text.append("\r\n");
}

void CallerConnection::forwardResponse(const http::MessageHead& head, std::string_view bytes, bool complete, bool first)
{
    if (first) {
        bool bodiless = head.status == 204 || head.status == 304 || this->parser->head().method == "HEAD";
        this->chunkedResponse = false;
        std::string framing;
        if (bodiless) {
            if (head.framing == http::BodyFraming::Length)
                framing = "Content-Length: " + std::to_string(head.length) + "\r\n";
        } else if (complete)
            framing = "Content-Length: " + std::to_string(bytes.size()) + "\r\n";
        else if (head.framing == http::BodyFraming::Length)
            framing = "Content-Length: " + std::to_string(head.length) + "\r\n";
        else {
            framing = "Transfer-Encoding: chunked\r\n";
            this->chunkedResponse = true;
        }
        auto text = responseHead(head, framing, this->closesAfterResponse());
        // A complete response goes out in one write.
        if (!this->chunkedResponse)
            text.append(bytes);
        this->stream.write(text);
        if (!this->chunkedResponse)
            bytes = {};
    }
    if (this->chunkedResponse) {
        std::string chunk;
        if (!bytes.empty()) {
            std::array<char, 20> size {};
            auto* end = std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16).ptr;
            chunk.append(size.data(), end).append("\r\n").append(bytes).append("\r\n");
        }
        if (complete)
            chunk += "0\r\n\r\n";
        this->stream.write(chunk);
    } else if (!bytes.empty())
        this->stream.write(bytes);
    if (complete)
        this->onResponseWritten();
}

void CallerConnection::sendLocalResponse(unsigned status, Duration retryAfter, const std::string& reason)
{
    http::MessageHead head;
    head.status = status;
    if (this->parser && this->parser->isHeadComplete()) {
        const auto& name = this->context.names.requestId;
        if (const auto* id = this->parser->head().headers.find(name))
            head.headers.add(name, *id);
    }
    head.headers.add("Content-Type", "text/plain; charset=utf-8");
    if (retryAfter > Duration::zero())
        head.headers.add("Retry-After", secondsText(retryAfter));
    std::string body = reason + "\n";
    bool headOnly = this->parser && this->parser->isHeadComplete() && this->parser->head().method == "HEAD";
    auto text
        = responseHead(head, "Content-Length: " + std::to_string(body.size()) + "\r\n", this->closesAfterResponse());
    this->stream.write(headOnly ? text : text + body);
    this->onResponseWritten();
}

void CallerConnection::abortResponse()
{
    // Closing before the announced length or the last chunk shows the caller that the response is incomplete.
    this->close();
}

void CallerConnection::resumeBody()
{
    this->updateReading();
}

void CallerConnection::onResponseWritten()
{
    this->responseComplete = true;
    // Deferred, since a method of the request is still on the stack.
    if (!this->parsing)
        this->context.reactor.defer([this, alive = std::weak_ptr<int>(this->lifetime)] {
            if (!alive.lock())
                return;
            this->prepareNextRequest();
            this->parseInput();
        });
}

void CallerConnection::prepareNextRequest()
{
    if (!this->responseComplete || this->closing)
        return;
    if (this->request && !this->request->isFinished())
        return;
    if (!this->requestComplete && this->parser && this->parser->isHeadComplete()) {
        // The rest of the body is read and discarded, so that the caller can read its response.
        this->updateReading();
        if (!this->timer)
            this->startTimer(lingerTimeout * 5, true);
        return;
    }
    this->request.reset();
    this->parser.reset();
    this->idleSince = this->context.reactor.now();
    this->headStarted = false;
    this->requestComplete = false;
    this->responseComplete = false;
    if (this->closesAfterResponse()) {
        this->closeGracefully();
        return;
    }
    this->updateReading();
    this->startTimer(this->limits().idleTimeout + idleTimeoutMargin, true);
}

void CallerConnection::onDrained()
{
    if (this->request)
        this->request->onSinkDrained();
    if (!this->parser && !this->closing)
        this->parseInput();
}

void CallerConnection::onEnd(net::StreamEnd end)
{
    if (end == net::StreamEnd::Orderly && this->closing) {
        this->close();
        return;
    }
    if (this->request && !this->request->isFinished())
        this->request->abandon();
    this->close();
}

// The kernel resets the connection when a request arrives after close(), so that its caller learns that the request was
// not read. A response that was sent this long ago has arrived.
void CallerConnection::closeIfIdle()
{
    bool inUse = this->request || this->headStarted || this->closing || this->stream.unsentBytes() > 0
        || this->stream.hasPendingInput();
    if (!inUse && this->context.reactor.now() - this->idleSince >= minIdleBeforeClose)
        this->close();
}

void CallerConnection::closeGracefully()
{
    if (this->closing)
        return;
    this->closing = true;
    this->stream.consume(this->stream.input().size());
    this->updateReading();
    this->stream.finishWriting();
    this->startTimer(lingerTimeout, true);
}

void CallerConnection::close()
{
    this->closing = true;
    if (this->request && !this->request->isFinished())
        this->request->abandon();
    if (this->timer)
        this->context.reactor.cancel(*this->timer);
    this->timer.reset();
    this->context.memory.remove(this->owner());
    this->stream.close();
    this->closedCallback(*this);
}

}
