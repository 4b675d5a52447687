#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace sequoia::standin {

//! The bytes that a read answers; determined by service, key and size.
class Pattern {
public:
    Pattern(std::string_view service, std::string_view key, std::uint64_t size);

    std::uint64_t size() const { return this->length; }

    //! Fills `out` with the bytes from `offset` on; all of them must lie within the pattern.
    void fill(std::uint64_t offset, std::span<char> out) const;

private:
    std::uint64_t seed;
    std::uint64_t length;
};

//! Compares a response with a pattern while it arrives.
class PatternChecker {
public:
    explicit PatternChecker(const Pattern& pattern);

    void add(std::string_view bytes);

    //! The first difference, or an empty text when the response was the complete pattern.
    std::string finish() const;

private:
    Pattern expected;
    std::uint64_t received = 0;
    std::string difference;
};

}
