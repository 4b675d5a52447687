#pragma once

#include <cstdint>

namespace sequoia::fleet {

//! A key of a keyed service; there are `keyCount` of them, and each is served by one backend server.
using Key = std::uint16_t;
//! Increases with each assignment of a key; a backend server rejects orders that carry a lower token.
using FencingToken = std::uint64_t;

inline constexpr std::uint32_t keyCount = 65'536;

//! An inclusive range of keys.
struct KeyRange {
    Key first = 0;
    Key last = 0;

    bool contains(Key key) const { return key >= this->first && key <= this->last; }
    std::uint32_t size() const { return std::uint32_t(this->last) - this->first + 1; }
    bool operator==(const KeyRange&) const = default;
};

}
