#pragma once

#include "fleet/KeyRange.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace sequoia::balance {

enum class Ownership {
    Owned,
    Moving, //!< The key moves to another owner and is served again soon.
    Unowned,
};

struct Owner {
    Ownership ownership = Ownership::Unowned;
    std::string server; //!< id of the owner; set with Ownership::Owned only
};

//! Finds the backend server that owns a key.
class OwnerLookup {
public:
    virtual ~OwnerLookup() = default;
    virtual Owner ownerOf(std::string_view service, fleet::Key key) const = 0;
    //! Changes whenever a result of ownerOf() may have changed.
    virtual std::uint64_t ownerVersion() const = 0;
};

}
