// Memory, progress and descriptors of callers' connections: docs/design/caller-memory.md.
#include "CallerConnection.h"

#include <algorithm>
#include <cstddef>

namespace sequoia::edge {

namespace {

// A body must bring this many bytes in each window. A link of 10 Mbit/s that is reduced 36-fold carries 170 KB in one.
constexpr std::uint64_t minBodyBytes = 256;
constexpr Duration bodyWindow = std::chrono::seconds(5);
// A caller that takes no byte of its response for this long counts as stalled, which matters only if memory is short.
constexpr Duration unreadLimit = std::chrono::seconds(5);
// Connections are closed to make room only after this time without progress, since a request may be on its way.
constexpr Duration minIdle = std::chrono::milliseconds(500);
constexpr Duration minStalled = std::chrono::seconds(1);
// Bodies up to this size are not refused: orders and the like.
constexpr std::uint64_t smallBody = std::uint64_t { 8 } * 1024;
// Stalled connections are ended within about this time. Returns are spread over the same time again.
constexpr Duration retryAfterMemory = std::chrono::milliseconds(1200);
constexpr unsigned returnSteps = 16;
// The parser and the request each keep the fields of a head; their sizes and pointers take about as much again.
constexpr std::size_t headCopies = 3;

}

MemoryAccount::Owner CallerConnection::owner() const
{
    return reinterpret_cast<std::uintptr_t>(this);
}

bool CallerConnection::isBodyArriving() const
{
    return !this->closing && this->request && !this->request->isFinished() && !this->requestComplete;
}

void CallerConnection::accountMemory()
{
    if (!this->stream.isOpen())
        return;
    auto now = this->context.reactor.now();
    if (this->stream.sentBytes() != this->lastSent || this->stream.unsentBytes() == 0)
        this->sentSince = now;
    this->lastSent = this->stream.sentBytes();
    HeldMemory held;
    held.of(MemoryUse::Head) = this->stream.inputMemory() + (this->request ? this->headBytes * headCopies : 0);
    held.of(MemoryUse::Unsent) = this->stream.outputMemory();
    held.progress = this->lastSent;
    if (this->request) {
        this->request->addMemory(held);
        held.progress += this->request->body().end();
    }
    bool headArriving = this->headStarted && !this->request;
    held.waitsForCaller = headArriving || this->isBodyArriving() || now - this->sentSince >= unreadLimit;
    this->context.memory.update(this->owner(), held, now);
}

void CallerConnection::holdBackIfNeeded()
{
    this->heldBack = this->isBodyArriving() && this->context.memory.shouldHoldBack(this->owner());
}

void CallerConnection::checkProgress(std::size_t& room)
{
    this->accountMemory();
    auto now = this->context.reactor.now();
    if (this->heldBack && !this->closing && room > 0) {
        // Its buffers may double before the next look.
        room -= std::min(room, this->context.memory.held(this->owner()));
        this->heldBack = false;
        this->updateReading();
    }
    if (!this->isBodyArriving())
        return;
    auto arrived = this->request->body().end();
    // A body that this host does not read, or that brings enough, starts a new window.
    if (!this->stream.isReading() || arrived >= this->stageBytes + minBodyBytes) {
        this->stageSince = now;
        this->stageBytes = arrived;
        return;
    }
    if (now - this->stageSince < bodyWindow)
        return;
    this->context.limitLog.count(CallerLimit::BodyStalled);
    this->closeAfterResponse = true;
    if (this->request->refuseUnsent(408, {}, "the body did not arrive in time"))
        this->closeGracefully();
    else
        this->close();
}

void CallerConnection::endForMemory()
{
    this->context.limitLog.count(CallerLimit::MemoryStalled);
    if (!this->isBodyArriving()
        || !this->request->refuseUnsent(503, this->memoryRetryAfter(), "memory is short at this host"))
        this->close();
    else
        this->accountMemory();
}

bool CallerConnection::refusesForMemory(const http::MessageHead& head) const
{
    auto pressure = this->context.memory.pressure();
    if (pressure != MemoryPressure::RefuseBodies)
        return pressure == MemoryPressure::RefuseRequests;
    return head.framing == http::BodyFraming::Chunked
        || (head.framing == http::BodyFraming::Length && head.length > smallBody);
}

Duration CallerConnection::memoryRetryAfter() const
{
    auto step = static_cast<int>(this->owner() / alignof(std::max_align_t) % returnSteps);
    return retryAfterMemory + retryAfterMemory * step / returnSteps;
}

std::optional<CallerConnection::Closable> CallerConnection::closable() const
{
    auto now = this->context.reactor.now();
    if (this->closing || (this->request && this->request->isFinished() && !this->requestComplete))
        return Closable { Closable::Stage::Finished, this->idleSince };
    if (!this->request && !this->headStarted) {
        bool inUse = this->stream.unsentBytes() > 0 || now - this->idleSince < minIdle;
        if (inUse || this->stream.hasPendingInput())
            return std::nullopt;
        return Closable { Closable::Stage::Idle, this->idleSince };
    }
    if (now - this->stageSince < minStalled)
        return std::nullopt;
    if (!this->request)
        return Closable { Closable::Stage::Head, this->stageSince };
    if (this->isBodyArriving() && this->stream.isReading())
        return Closable { Closable::Stage::Body, this->stageSince };
    return std::nullopt;
}

}
