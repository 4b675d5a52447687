#include "net/TcpStream.h"

#include <array>
#include <cassert>
#include <cerrno>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace sequoia::net {

namespace {

constexpr std::size_t readBufferSize = std::size_t { 16 } * 1024;
// A connection whose sent bytes stay unacknowledged for this long is closed, since a network partition sends no reset.
constexpr int unacknowledgedTimeoutMillis = 5'000;
// A buffer with more consumed bytes than this is compacted.
constexpr std::size_t compactThreshold = std::size_t { 64 } * 1024;

// An empty buffer with more capacity than this is freed.
constexpr std::size_t keptCapacity = std::size_t { 8 } * 1024;

void setSocketOptions(int descriptor)
{
    int one = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    setsockopt(
        descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledgedTimeoutMillis, sizeof unacknowledgedTimeoutMillis);
}

std::size_t memoryOf(const std::string& buffer, std::size_t start)
{
    return buffer.capacity() > keptCapacity ? buffer.capacity() : buffer.size() - start;
}

void discardConsumed(std::string& buffer, std::size_t& start)
{
    if (start == buffer.size()) {
        // An idle connection keeps no large buffer.
        if (buffer.capacity() > keptCapacity)
            std::string().swap(buffer);
        buffer.clear();
        start = 0;
    } else if (start > compactThreshold) {
        buffer.erase(0, start);
        start = 0;
    }
}

}

TcpStream::TcpStream(Reactor& owner, int accepted, StreamObserver& receiver)
    : reactor(owner)
    , observer(receiver)
    , descriptor(accepted)
{
    setSocketOptions(accepted);
    this->updateEvents();
}

TcpStream::TcpStream(Reactor& owner, const SocketAddress& address, StreamObserver& receiver)
    : reactor(owner)
    , observer(receiver)
    , descriptor(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
    , connecting(true)
{
    if (this->descriptor >= 0) {
        setSocketOptions(this->descriptor);
        int status = connect(this->descriptor, address.pointer(), sizeof address.value);
        if (status == 0 || errno == EINPROGRESS) {
            this->updateEvents();
            return;
        }
        ::close(this->descriptor);
        this->descriptor = -1;
    }
    this->deferEnd(StreamEnd::ConnectFailed);
}

TcpStream::~TcpStream()
{
    this->close();
}

std::string_view TcpStream::input() const
{
    return std::string_view(this->inputBuffer).substr(this->inputStart);
}

std::size_t TcpStream::inputMemory() const
{
    return memoryOf(this->inputBuffer, this->inputStart);
}

std::size_t TcpStream::outputMemory() const
{
    return memoryOf(this->outputBuffer, this->outputStart);
}

void TcpStream::consume(std::size_t bytes)
{
    assert(bytes <= this->inputBuffer.size() - this->inputStart);
    this->inputStart += bytes;
    discardConsumed(this->inputBuffer, this->inputStart);
}

void TcpStream::write(std::string_view bytes)
{
    if (!this->isOpen())
        return;
    bool idle = this->unsentBytes() == 0;
    this->outputBuffer.append(bytes);
    if (idle && !this->connecting)
        this->flush();
}

void TcpStream::setReading(bool enabled)
{
    if (this->reading == enabled)
        return;
    this->reading = enabled;
    this->updateEvents();
}

bool TcpStream::hasPendingInput() const
{
    if (!this->input().empty() || this->peerFinished || !this->isOpen())
        return true;
    char byte = 0;
    ssize_t count = recv(this->descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

void TcpStream::finishWriting()
{
    this->finishAfterFlush = true;
    if (this->isConnected() && this->unsentBytes() == 0)
        shutdown(this->descriptor, SHUT_WR);
}

void TcpStream::close()
{
    if (!this->isOpen())
        return;
    this->reactor.unwatch(this->descriptor);
    ::close(this->descriptor);
    this->descriptor = -1;
}

void TcpStream::reset()
{
    if (!this->isOpen())
        return;
    // After an ordinary close the kernel keeps sending the written bytes, for minutes during a network partition.
    const linger discard { 1, 0 };
    [[maybe_unused]] int status = setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
    assert(status == 0); // SO_LINGER cannot fail on a TCP socket.
    this->close();
}

void TcpStream::onIo(std::uint32_t events)
{
    if (this->connecting) {
        this->completeConnect();
        return;
    }
    if (this->peerFinished && (events & (EPOLLHUP | EPOLLERR))) {
        this->fail(StreamEnd::Reset);
        return;
    }
    if (events & (EPOLLIN | EPOLLHUP | EPOLLERR))
        this->readAvailable();
    if (this->isOpen() && (events & EPOLLOUT))
        this->flush();
}

void TcpStream::completeConnect()
{
    int error = 0;
    socklen_t length = sizeof error;
    getsockopt(this->descriptor, SOL_SOCKET, SO_ERROR, &error, &length);
    if (error != 0) {
        this->fail(StreamEnd::ConnectFailed);
        return;
    }
    this->connecting = false;
    this->updateEvents();
    this->observer.onConnected();
    if (this->isOpen() && this->unsentBytes() > 0)
        this->flush();
}

void TcpStream::readAvailable()
{
    static thread_local std::array<char, readBufferSize> chunk;
    ssize_t count = recv(this->descriptor, chunk.data(), chunk.size(), 0);
    if (count > 0) {
        this->inputBuffer.append(chunk.data(), static_cast<std::size_t>(count));
        this->observer.onInput();
        return;
    }
    if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
        return;
    if (count < 0) {
        this->fail(StreamEnd::Reset);
        return;
    }
    this->peerFinished = true;
    this->updateEvents();
    this->observer.onEnd(StreamEnd::Orderly);
}

void TcpStream::flush()
{
    while (this->unsentBytes() > 0) {
        ssize_t count
            = send(this->descriptor, this->outputBuffer.data() + this->outputStart, this->unsentBytes(), MSG_NOSIGNAL);
        if (count < 0 && errno == EINTR)
            continue;
        if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
            break;
        if (count < 0) {
            // Deferred, because code that calls write() does not expect onEnd() to be called before it returns.
            this->close();
            this->deferEnd(StreamEnd::Reset);
            return;
        }
        this->outputStart += static_cast<std::size_t>(count);
        this->sentTotal += static_cast<std::uint64_t>(count);
    }
    discardConsumed(this->outputBuffer, this->outputStart);
    if (this->unsentBytes() > 0) {
        this->updateEvents();
        return;
    }
    bool wasBlocked = this->registeredEvents & EPOLLOUT;
    this->updateEvents();
    if (this->finishAfterFlush)
        shutdown(this->descriptor, SHUT_WR);
    if (wasBlocked)
        this->observer.onDrained();
}

void TcpStream::updateEvents()
{
    if (!this->isOpen())
        return;
    std::uint32_t wanted = 0;
    if (this->connecting || this->unsentBytes() > 0)
        wanted |= EPOLLOUT;
    if (!this->connecting && this->reading && !this->peerFinished)
        wanted |= EPOLLIN;
    if (wanted == this->registeredEvents && this->registeredEvents != 0)
        return;
    if (this->registeredEvents == 0)
        this->reactor.watch(this->descriptor, wanted, *this);
    else
        this->reactor.modify(this->descriptor, wanted);
    // Zero means that the descriptor is not watched. Adding EPOLLERR, which epoll always reports, keeps the mask
    // nonzero.
    this->registeredEvents = wanted | EPOLLERR;
}

void TcpStream::deferEnd(StreamEnd end)
{
    this->reactor.defer([&target = this->observer, alive = std::weak_ptr<int>(this->lifetime), end] {
        if (alive.lock())
            target.onEnd(end);
    });
}

void TcpStream::fail(StreamEnd end)
{
    this->close();
    this->observer.onEnd(end);
}

}
