#pragma once

#include "net/TcpStream.h"

#include <memory>
#include <optional>
#include <string>

namespace sequoia::crowd {

//! What a caller sends on each of its connections.
struct CallerBytes {
    std::string start;
    std::string repeated; //!< sent again and again after the start
    std::optional<std::uint64_t> limit; //!< bytes after the start; without a limit they never end
    std::size_t piece = std::size_t { 64 } * 1024; //!< bytes written at once
    bool reads = true; //!< reads the responses
};

//! A caller that sends its bytes as fast as they are taken, never closes its connection, and connects again when the
//! host closes it.
class CrowdCaller final : private net::StreamObserver {
public:
    CrowdCaller(net::Reactor& reactor, const net::SocketAddress& address, const CallerBytes& bytes);

    //! Writes the next piece if the last one was sent.
    void sendMore();

private:
    void onInput() override;
    void onEnd(net::StreamEnd end) override;
    void connect();

    net::Reactor& reactor;
    net::SocketAddress address;
    const CallerBytes& bytes;
    std::unique_ptr<net::TcpStream> stream;
    std::uint64_t sent = 0; //!< bytes after the start
    bool ended = false;
};

}
