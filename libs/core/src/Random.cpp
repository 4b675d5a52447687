#include "core/Random.h"

namespace sequoia {

RandomEngine systemSeededEngine()
{
    std::random_device device;
    std::seed_seq seed { device(), device(), device(), device(), device(), device(), device(), device() };
    return RandomEngine(seed);
}

std::string randomId(RandomEngine& engine)
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr std::size_t words = 2;
    constexpr std::size_t digitsPerWord = 16;
    std::string id;
    id.reserve(words * digitsPerWord);
    for (std::size_t word = 0; word < words; ++word) {
        std::uint64_t bits = engine();
        for (std::size_t digit = 0; digit < digitsPerWord; ++digit) {
            id.push_back(digits[bits & 0xf]);
            bits >>= 4;
        }
    }
    return id;
}

}
