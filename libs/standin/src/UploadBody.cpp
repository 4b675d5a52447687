#include "UploadBody.h"

#include "standin/Pattern.h"

#include <algorithm>
#include <memory>
#include <xxhash.h>

namespace sequoia::standin {

namespace {

constexpr std::uint64_t fillerSize = std::size_t(64) * 1024;

GBytes* filler()
{
    static GBytes* const bytes = [] {
        std::string text(fillerSize, '\0');
        Pattern("load", "filler", fillerSize).fill(0, text);
        return g_bytes_new(text.data(), text.size());
    }();
    return bytes;
}

}

UploadBody makeUploadBody(const std::string& beginning, std::uint64_t length)
{
    std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state(XXH3_createState(), &XXH3_freeState);
    XXH3_64bits_reset(state.get());
    auto* stream = g_memory_input_stream_new();
    auto add = [&](GBytes* bytes) {
        gsize size = 0;
        const void* data = g_bytes_get_data(bytes, &size);
        XXH3_64bits_update(state.get(), data, size);
        g_memory_input_stream_add_bytes(G_MEMORY_INPUT_STREAM(stream), bytes);
        g_bytes_unref(bytes);
    };
    auto own = std::min<std::uint64_t>(beginning.size(), length);
    add(g_bytes_new(beginning.data(), own));
    for (auto left = length - own; left > 0;) {
        auto part = std::min(left, fillerSize);
        add(g_bytes_new_from_bytes(filler(), 0, part));
        left -= part;
    }
    return { ObjectPtr<GInputStream>(stream), length, XXH3_64bits_digest(state.get()) };
}

}
