#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace sequoia::edge {

//! Buffers the body of a caller's request. The start is kept while the body is short enough for a retry.
class RequestBody {
public:
    std::string& buffer() { return this->data; }
    std::uint64_t end() const { return this->start + this->data.size(); }
    std::size_t memory() const { return this->data.empty() ? 0 : this->data.capacity(); }
    bool isReplayable() const { return this->start == 0; }

    //! Bytes from `position`, which must not have been dropped.
    std::string_view from(std::uint64_t position) const
    {
        return std::string_view(this->data).substr(static_cast<std::size_t>(position - this->start));
    }

    //! Drops the bytes before `position` if more than `keep` bytes are buffered.
    void dropBefore(std::uint64_t position, std::size_t keep)
    {
        if (this->data.size() <= keep)
            return;
        this->data.erase(0, static_cast<std::size_t>(position - this->start));
        this->start = position;
    }

    void clear()
    {
        this->start = 0;
        std::string().swap(this->data);
    }

private:
    std::string data;
    std::uint64_t start = 0;
};

}
