#pragma once

#include <cstdint>
#include <string_view>

namespace sequoia {

//! Hash of a service name and a key, in the 64-bit hash space.
using KeyHash = std::uint64_t;

KeyHash keyHash(std::string_view service, std::string_view key);

}
