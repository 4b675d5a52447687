#pragma once

#include "net/Reactor.h"
#include "net/SocketAddress.h"

#include <functional>
#include <memory>
#include <optional>

namespace sequoia::net {

//! Accepts connections and hands their descriptors to a callback.
class TcpListener final : private IoHandler {
public:
    using AcceptCallback = std::function<void(int descriptor)>;

    static Result<std::unique_ptr<TcpListener>> listen(
        Reactor& reactor, const SocketAddress& address, AcceptCallback onAccept);
    ~TcpListener() override;

    TcpListener(const TcpListener&) = delete;
    TcpListener& operator=(const TcpListener&) = delete;

    //! Returns the bound address, including the port assigned by the kernel if port 0 was requested.
    SocketAddress address() const;
    //! Accepts the connections that the kernel has established. Closing the listener would reset them.
    void acceptPending();
    //! While off, the kernel establishes connections and they wait in the accept queue.
    void setAccepting(bool enabled);

private:
    TcpListener(Reactor& reactor, int descriptor, AcceptCallback onAccept);
    void onIo(std::uint32_t events) override;
    void acceptUpTo(int count);
    void waitForDescriptors();
    void updateWatch();

    Reactor& reactor;
    int descriptor;
    AcceptCallback onAccept;
    bool accepting = true;
    bool watching = true;
    std::optional<Reactor::TimerId> resumeTimer; //!< runs while no descriptor is free
};

}
