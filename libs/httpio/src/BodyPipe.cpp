#include "httpio/BodyPipe.h"

#include <algorithm>
#include <cassert>
#include <cstring>

namespace sequoia::httpio {

namespace {

void notify(const std::function<void()>& callback)
{
    if (callback)
        callback();
}

}

void BodyPipe::push(Bytes chunk)
{
    if (this->state != End::Open || g_bytes_get_size(chunk.get()) == 0)
        return;
    this->received += g_bytes_get_size(chunk.get());
    this->chunks.push_back(std::move(chunk));
    this->peak = std::max(this->peak, this->bufferedBytes());
    notify(this->onReadable);
}

void BodyPipe::finish()
{
    if (this->state != End::Open)
        return;
    this->state = End::Complete;
    notify(this->onReadable);
}

void BodyPipe::fail()
{
    if (this->state != End::Open)
        return;
    this->state = End::Failed;
    notify(this->onReadable);
}

void BodyPipe::rewind()
{
    assert(this->replayable());
    this->position = 0;
}

std::size_t BodyPipe::read(void* target, std::size_t size)
{
    bool wasAboveLow = this->received - this->position > lowWater;
    auto* out = static_cast<char*>(target);
    std::size_t copied = 0;
    std::size_t chunkStart = this->base;
    for (const auto& chunk : this->chunks) {
        if (copied == size)
            break;
        gsize length = 0;
        const auto* data = static_cast<const char*>(g_bytes_get_data(chunk.get(), &length));
        if (this->position < chunkStart + length) {
            auto offset = this->position - chunkStart;
            auto count = std::min(size - copied, length - offset);
            std::memcpy(out + copied, data + offset, count);
            copied += count;
            this->position += count;
        }
        chunkStart += length;
    }
    if (this->position > replayLimit)
        this->discardBefore(this->position);
    if (wasAboveLow && this->received - this->position <= lowWater)
        notify(this->onDrained);
    return copied;
}

void BodyPipe::discardBefore(std::size_t offset)
{
    bool wasReplayable = this->replayable();
    while (!this->chunks.empty()) {
        auto length = g_bytes_get_size(this->chunks.front().get());
        if (this->base + length > offset)
            break;
        this->base += length;
        this->chunks.pop_front();
    }
    if (wasReplayable && !this->replayable())
        notify(this->onNotReplayable);
}

}
