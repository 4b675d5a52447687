#pragma once

#include "net/Reactor.h"
#include "net/SocketAddress.h"

#include <memory>
#include <string>
#include <string_view>

namespace sequoia::net {

//! How a stream ended.
enum class StreamEnd {
    Orderly, //!< The peer closed its sending direction.
    Reset,
    ConnectFailed, //!< The connection was refused or timed out; no byte was sent.
};

//! Receives the events of a stream. A callback may close or destroy the stream only through Reactor::defer().
class StreamObserver {
public:
    virtual ~StreamObserver() = default;
    virtual void onConnected() { }
    //! Received bytes were appended to input().
    virtual void onInput() = 0;
    //! The kernel has accepted all bytes that were waiting to be sent.
    virtual void onDrained() { }
    //! No further bytes will arrive. The stream is closed unless `end` is Orderly.
    virtual void onEnd(StreamEnd end) = 0;
};

//! A non-blocking TCP connection with input and output buffers.
class TcpStream final : private IoHandler {
public:
    //! Takes ownership of the descriptor of an accepted connection.
    TcpStream(Reactor& reactor, int descriptor, StreamObserver& observer);
    //! Starts to connect to an address.
    TcpStream(Reactor& reactor, const SocketAddress& address, StreamObserver& observer);
    ~TcpStream() override;

    TcpStream(const TcpStream&) = delete;
    TcpStream& operator=(const TcpStream&) = delete;

    bool isOpen() const { return this->descriptor >= 0; }
    bool isConnected() const { return this->isOpen() && !this->connecting; }

    //! Received bytes that have not been consumed.
    std::string_view input() const;
    void consume(std::size_t bytes);

    void write(std::string_view bytes);
    std::size_t unsentBytes() const { return this->outputBuffer.size() - this->outputStart; }
    //! Bytes that the kernel has taken since the connection was opened.
    std::uint64_t sentBytes() const { return this->sentTotal; }
    //! Memory of the input buffer; a small one that is kept for the next bytes does not count.
    std::size_t inputMemory() const;
    //! Memory of the output buffer, as above.
    std::size_t outputMemory() const;

    //! Pauses or resumes reading. While paused, a reset by the peer is still detected, but an orderly end is not.
    void setReading(bool enabled);
    bool isReading() const { return this->reading; }

    //! Whether received bytes or the end of the stream have not been handled yet.
    bool hasPendingInput() const;

    //! Sends the buffered output, then closes the sending direction.
    void finishWriting();
    void close();
    //! Closes the connection, discards unsent bytes and sends a reset to the peer.
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
    std::uint32_t registeredEvents = 0;
    std::string inputBuffer;
    std::size_t inputStart = 0;
    std::string outputBuffer;
    std::size_t outputStart = 0;
    std::uint64_t sentTotal = 0;
    //! Deferred callbacks hold a weak pointer to this to detect that the stream was destroyed.
    std::shared_ptr<int> lifetime = std::make_shared<int>(0);
};

}
