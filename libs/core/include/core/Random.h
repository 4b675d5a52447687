#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace sequoia {

using RandomEngine = std::mt19937_64;

//! Returns an engine seeded by the operating system. Tests construct RandomEngine with a fixed seed.
RandomEngine systemSeededEngine();

//! Returns 128 random bits in hexadecimal, for host incarnations and request ids.
std::string randomId(RandomEngine& engine);

}
