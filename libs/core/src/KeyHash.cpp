#include "core/KeyHash.h"

#include <string>
#include <xxhash.h>

namespace sequoia {

KeyHash keyHash(std::string_view service, std::string_view key)
{
    // The separator gives ("ab", "c") and ("a", "bc") different hashes.
    std::string text;
    text.reserve(service.size() + 1 + key.size());
    text.append(service);
    text.push_back('\0');
    text.append(key);
    return XXH3_64bits(text.data(), text.size());
}

}
