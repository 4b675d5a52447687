#include "RawAnswer.h"

#include "GlibPtr.h"

namespace sequoia::standin {

namespace {

struct RawWrite {
    ObjectPtr<GIOStream> stream;
    std::string bytes;
    Duration hold;
    std::function<void()> finished;
    std::unique_ptr<runtime::Timer> timer;
};

void onWritten(GObject* output, GAsyncResult* result, gpointer data)
{
    // Owned by the timer's message from here on, so that a main context that ends before the timer frees it.
    std::shared_ptr<RawWrite> write(static_cast<RawWrite*>(data));
    g_output_stream_write_all_finish(G_OUTPUT_STREAM(output), result, nullptr, nullptr);
    write->finished();
    if (write->hold <= Duration::zero()) {
        g_io_stream_close(write->stream.get(), nullptr, nullptr);
        return;
    }
    auto close = [write] { g_io_stream_close(write->stream.get(), nullptr, nullptr); };
    write->timer = std::make_unique<runtime::Timer>(write->hold, runtime::Timer::Repeat::Once, std::move(close));
}

}

void writeRaw(GIOStream* stream, std::string bytes, Duration hold, std::function<void()> finished)
{
    auto* write = new RawWrite { ObjectPtr<GIOStream>(stream), std::move(bytes), hold, std::move(finished), nullptr };
    g_output_stream_write_all_async(g_io_stream_get_output_stream(stream), write->bytes.data(), write->bytes.size(),
        G_PRIORITY_DEFAULT, nullptr, onWritten, write);
}

}
