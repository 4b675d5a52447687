#include "net/TcpListener.h"

#include <cerrno>
#include <cstring>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace sequoia::net {

namespace {

// Length of the accept queue. When it is full the kernel drops SYN packets, which delays a caller by seconds.
constexpr int backlog = 1024;
// Maximum connections accepted per iteration, so that established connections are not starved.
constexpr int acceptBatch = 16;
// Without a free descriptor the listener stays readable, so that accepting again at once would take a whole core.
constexpr Duration descriptorWait = std::chrono::milliseconds(50);

}

Result<std::unique_ptr<TcpListener>> TcpListener::listen(
    Reactor& reactor, const SocketAddress& address, AcceptCallback onAccept)
{
    int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int one = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    if (descriptor < 0 || bind(descriptor, address.pointer(), sizeof address.value) != 0
        || ::listen(descriptor, backlog) != 0) {
        std::string reason = std::strerror(errno);
        if (descriptor >= 0)
            close(descriptor);
        return Error { ErrorKind::Unavailable, "cannot listen on " + address.toString() + ": " + reason,
            "check that the address belongs to this host and that no other program uses the port" };
    }
    return std::unique_ptr<TcpListener>(new TcpListener(reactor, descriptor, std::move(onAccept)));
}

TcpListener::TcpListener(Reactor& owner, int listening, AcceptCallback callback)
    : reactor(owner)
    , descriptor(listening)
    , onAccept(std::move(callback))
{
    this->reactor.watch(this->descriptor, EPOLLIN, *this);
}

TcpListener::~TcpListener()
{
    if (this->resumeTimer)
        this->reactor.cancel(*this->resumeTimer);
    this->setAccepting(false);
    close(this->descriptor);
}

SocketAddress TcpListener::address() const
{
    SocketAddress bound;
    socklen_t length = sizeof bound.value;
    getsockname(this->descriptor, reinterpret_cast<sockaddr*>(&bound.value), &length);
    return bound;
}

void TcpListener::setAccepting(bool enabled)
{
    this->accepting = enabled;
    this->updateWatch();
}

void TcpListener::waitForDescriptors()
{
    if (this->resumeTimer)
        return;
    this->resumeTimer = this->reactor.scheduleAfter(descriptorWait, [this] {
        this->resumeTimer.reset();
        this->updateWatch();
    });
    this->updateWatch();
}

void TcpListener::updateWatch()
{
    bool wanted = this->accepting && !this->resumeTimer;
    if (this->watching == wanted)
        return;
    this->watching = wanted;
    if (wanted)
        this->reactor.watch(this->descriptor, EPOLLIN, *this);
    else
        this->reactor.unwatch(this->descriptor);
}

void TcpListener::acceptPending()
{
    this->acceptUpTo(backlog);
}

void TcpListener::onIo(std::uint32_t)
{
    this->acceptUpTo(acceptBatch);
}

void TcpListener::acceptUpTo(int count)
{
    for (int i = 0; i < count; ++i) {
        int connection = accept4(this->descriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (connection < 0) {
            if (errno == EMFILE || errno == ENFILE)
                this->waitForDescriptors();
            return;
        }
        this->onAccept(connection);
    }
}

}
