#include "standin/Pattern.h"

#include "core/KeyHash.h"

#include <algorithm>
#include <array>
#include <bit>
#include <cassert>
#include <cstring>
#include <xxhash.h>

namespace sequoia::standin {

namespace {

constexpr std::uint64_t wordSize = sizeof(std::uint64_t);
constexpr std::size_t compareBlock = 4096;

}

Pattern::Pattern(std::string_view service, std::string_view key, std::uint64_t size)
    // The size is part of the seed, so that a cut response never looks like the response of a shorter read.
    : seed(XXH3_64bits_withSeed(&size, sizeof(size), keyHash(service, key)))
    , length(size)
{
}

void Pattern::fill(std::uint64_t offset, std::span<char> out) const
{
    assert(offset + out.size() <= this->length);
    std::size_t done = 0;
    while (done < out.size()) {
        std::uint64_t index = (offset + done) / wordSize;
        std::uint64_t skip = (offset + done) % wordSize;
        std::uint64_t word = XXH3_64bits_withSeed(&index, sizeof(index), this->seed);
        auto bytes = std::bit_cast<std::array<char, wordSize>>(word);
        auto count = std::min<std::size_t>(wordSize - skip, out.size() - done);
        std::memcpy(out.data() + done, bytes.data() + skip, count);
        done += count;
    }
}

PatternChecker::PatternChecker(const Pattern& pattern)
    : expected(pattern)
{
}

void PatternChecker::add(std::string_view bytes)
{
    std::array<char, compareBlock> block {};
    while (!bytes.empty() && this->difference.empty()) {
        auto count = std::min<std::uint64_t>({ block.size(), bytes.size(), this->expected.size() - this->received });
        if (count == 0) {
            this->difference = "longer than " + std::to_string(this->expected.size()) + " bytes";
            return;
        }
        this->expected.fill(this->received, { block.data(), count });
        auto part = bytes.substr(0, count);
        auto place = std::mismatch(part.begin(), part.end(), block.begin()).first;
        if (place != part.end())
            this->difference = "differs at byte " + std::to_string(this->received + (place - part.begin()));
        this->received += count;
        bytes.remove_prefix(count);
    }
}

std::string PatternChecker::finish() const
{
    if (this->difference.empty() && this->received < this->expected.size())
        return "short: " + std::to_string(this->received) + " of " + std::to_string(this->expected.size()) + " bytes";
    return this->difference;
}

}
