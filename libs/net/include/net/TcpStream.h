#pragma once

#include "net/Reactor.h"
#include "net/SocketAddress.h"

#include <memory>
#include <string>
#include <string_view>

namespace sequoia::net {

//! How a stream ended.
enum class StreamEnd {
    Orderly, //!< The peer finished sending.
    Reset,
    ConnectFailed, //!< The connection was refused or timed out; no byte was sent.
};

//! Receives what happens on a stream. Each callback may close or destroy the stream only by deferring it.
class StreamObserver {
public:
    virtual ~StreamObserver() = default;
    virtual void onConnected() { }
    //! New bytes are in input().
    virtual void onInput() = 0;
    //! All written bytes were taken by the kernel.
    virtual void onDrained() { }
    //! Nothing more will come; the stream is closed unless the end was orderly.
    virtual void onEnd(StreamEnd end) = 0;
};

//! A non-blocking TCP connection with buffers in both directions.
class TcpStream final : private IoHandler {
public:
    //! Takes over an accepted descriptor.
    TcpStream(Reactor& reactor, int descriptor, StreamObserver& observer);
    //! Starts to connect.
    TcpStream(Reactor& reactor, const SocketAddress& address, StreamObserver& observer);
    ~TcpStream() override;

    TcpStream(const TcpStream&) = delete;
    TcpStream& operator=(const TcpStream&) = delete;

    bool isOpen() const { return this->descriptor >= 0; }
    bool isConnected() const { return this->isOpen() && !this->connecting; }

    //! Received bytes that were not consumed yet.
    std::string_view input() const;
    void consume(std::size_t bytes);

    void write(std::string_view bytes);
    std::size_t unsentBytes() const { return this->output.size() - this->outputStart; }

    //! Stops and restarts reading; while stopped, an end of the peer is still noticed when it is a reset.
    void setReading(bool enabled);

    //! Whether bytes or an end have arrived that were not handled yet.
    bool hasPendingInput() const;

    //! Sends what is written, then the end of the stream.
    void finishWriting();
    void close();
    //! Closes and discards what the kernel has not delivered yet; the peer sees a reset.
    void reset();

private:
    void onIo(std::uint32_t events) override;
    void completeConnect();
    void readAvailable();
    void flush();
    void updateEvents();
    void fail(StreamEnd end);
    void deferEnd(StreamEnd end);

    Reactor& reactor;
    StreamObserver& observer;
    int descriptor = -1;
    bool connecting = false;
    bool reading = true;
    bool peerFinished = false;
    bool finishAfterFlush = false;
    std::uint32_t registered = 0;
    std::string inputBuffer;
    std::size_t inputStart = 0;
    std::string output;
    std::size_t outputStart = 0;
    //! Expires with the stream; deferred callbacks check it.
    std::shared_ptr<int> lifetime = std::make_shared<int>(0);
};

}
