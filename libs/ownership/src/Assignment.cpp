#include "Assignment.h"

#include <array>
#include <cinttypes>
#include <cstdio>

namespace sequoia::ownership {

std::string describe(const HashRange& range)
{
    std::array<char, 40> text {};
    std::snprintf(text.data(), text.size(), "%016" PRIx64 "-%016" PRIx64, range.first, range.last);
    return text.data();
}

}
