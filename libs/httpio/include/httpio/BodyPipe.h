#pragma once

#include "httpio/GlibPointers.h"

#include <cstddef>
#include <deque>
#include <functional>

namespace sequoia::httpio {

//! Carries the body of one request from the caller to an attempt, with bounded memory. A short beginning is
//! kept, so that a later attempt can read it again.
class BodyPipe {
public:
    static constexpr std::size_t highWater = 256UL * 1024;
    static constexpr std::size_t lowWater = 64UL * 1024;
    static constexpr std::size_t replayLimit = 64UL * 1024;

    enum class End {
        Open,
        Complete,
        Failed, //!< The caller's body ended early; readers must fail.
    };

    void push(Bytes chunk);
    void finish();
    void fail();

    //! Starts reading from the beginning; asserts that the body is replayable.
    void rewind();
    //! Copies up to `size` bytes; 0 when nothing is buffered.
    std::size_t read(void* target, std::size_t size);

    End end() const { return this->state; }
    bool hasUnread() const { return this->position < this->received; }
    bool replayable() const { return this->base == 0; }
    //! Whether the caller shall send no more for now.
    bool full() const { return this->received - this->position >= highWater; }

    std::size_t receivedBytes() const { return this->received; }
    //! Bytes held now, and the most that were ever held.
    std::size_t bufferedBytes() const { return this->received - this->base; }
    std::size_t peakBufferedBytes() const { return this->peak; }

    //! Called when bytes or the end have arrived.
    std::function<void()> onReadable;
    //! Called when the reader has taken so much that the caller may go on.
    std::function<void()> onDrained;
    //! Called once when the beginning is no longer kept.
    std::function<void()> onNotReplayable;

private:
    void discardBefore(std::size_t offset);

    std::deque<Bytes> chunks;
    std::size_t base = 0; //!< Offset of the first byte kept.
    std::size_t position = 0; //!< Offset of the next byte to read.
    std::size_t received = 0;
    std::size_t peak = 0;
    End state = End::Open;
};

}
