#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace sequoia::edge {

//! Body of a caller's request on its way to a backend server. Kept from its start while it is short enough to be
//! sent again.
class RequestBody {
public:
    std::string& buffer() { return this->data; }
    std::uint64_t end() const { return this->start + this->data.size(); }
    bool isReplayable() const { return this->start == 0; }

    //! Bytes from a position that was not dropped.
    std::string_view from(std::uint64_t position) const
    {
        return std::string_view(this->data).substr(static_cast<std::size_t>(position - this->start));
    }

    //! Drops what was sent, when more than `keep` bytes are held.
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
        this->data.clear();
    }

private:
    std::string data;
    std::uint64_t start = 0;
};

}
