#pragma once

#include "net/Reactor.h"
#include "net/SocketAddress.h"

#include <functional>
#include <memory>
#include <string_view>

namespace sequoia::net {

//! A non-blocking UDP socket for datagrams between hosts.
class UdpSocket final : private IoHandler {
public:
    using ReceiveCallback = std::function<void(std::string_view bytes, const SocketAddress& sender)>;

    static Result<std::unique_ptr<UdpSocket>> bind(
        Reactor& reactor, const SocketAddress& address, ReceiveCallback onReceive);
    ~UdpSocket() override;

    UdpSocket(const UdpSocket&) = delete;
    UdpSocket& operator=(const UdpSocket&) = delete;

    //! Best effort: a datagram that the kernel does not accept is lost. The error says why.
    Result<Success> send(std::string_view bytes, const SocketAddress& target);

private:
    UdpSocket(Reactor& reactor, int descriptor, ReceiveCallback onReceive);
    void onIo(std::uint32_t events) override;

    Reactor& reactor;
    int descriptor;
    ReceiveCallback onReceive;
};

}
