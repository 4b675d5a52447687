#include "net/UdpSocket.h"

#include <array>
#include <cerrno>
#include <cstring>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace sequoia::net {

namespace {

constexpr std::size_t maxDatagramSize = 65'536;
// Maximum datagrams received per iteration, so that other sockets are not starved.
constexpr int receiveBatch = 32;

}

Result<std::unique_ptr<UdpSocket>> UdpSocket::bind(
    Reactor& reactor, const SocketAddress& address, ReceiveCallback onReceive)
{
    int descriptor = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0 || ::bind(descriptor, address.pointer(), sizeof address.value) != 0) {
        std::string reason = std::strerror(errno);
        if (descriptor >= 0)
            close(descriptor);
        return Error { ErrorKind::Unavailable, "cannot bind UDP " + address.toString() + ": " + reason,
            "check that the address belongs to this host and that no other program uses the port" };
    }
    return std::unique_ptr<UdpSocket>(new UdpSocket(reactor, descriptor, std::move(onReceive)));
}

UdpSocket::UdpSocket(Reactor& owner, int bound, ReceiveCallback callback)
    : reactor(owner)
    , descriptor(bound)
    , onReceive(std::move(callback))
{
    this->reactor.watch(this->descriptor, EPOLLIN, *this);
}

UdpSocket::~UdpSocket()
{
    this->reactor.unwatch(this->descriptor);
    close(this->descriptor);
}

Result<Success> UdpSocket::send(std::string_view bytes, const SocketAddress& target)
{
    ssize_t sent
        = sendto(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL, target.pointer(), sizeof target.value);
    if (sent == static_cast<ssize_t>(bytes.size()))
        return Success {};
    std::string reason = sent < 0 ? std::strerror(errno) : "sent in part";
    return Error {
        ErrorKind::Unavailable,
        "cannot send " + std::to_string(bytes.size()) + " bytes to " + target.toString() + ": " + reason,
        "the message is lost as on a lossy link; if this persists, check the route to the host and the socket buffers"
    };
}

void UdpSocket::onIo(std::uint32_t)
{
    static thread_local std::array<char, maxDatagramSize> buffer;
    for (int i = 0; i < receiveBatch; ++i) {
        SocketAddress sender;
        socklen_t length = sizeof sender.value;
        ssize_t count = recvfrom(
            this->descriptor, buffer.data(), buffer.size(), 0, reinterpret_cast<sockaddr*>(&sender.value), &length);
        if (count < 0)
            return;
        this->onReceive(std::string_view(buffer.data(), static_cast<std::size_t>(count)), sender);
    }
}

}
