#pragma once

#include "GlibPtr.h"

#include <cstdint>
#include <gio/gio.h>
#include <string>

namespace sequoia::standin {

//! A request body of a given length that begins with a text of its own.
struct UploadBody {
    ObjectPtr<GInputStream> stream;
    std::uint64_t length;
    std::uint64_t hash;
};

//! The filler is shared between all bodies, so a body takes no memory in proportion to its length.
UploadBody makeUploadBody(const std::string& beginning, std::uint64_t length);

}
