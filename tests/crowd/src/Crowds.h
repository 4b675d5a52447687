#pragma once

#include "CrowdCaller.h"

#include <vector>

namespace sequoia::crowd {

//! Callers of one kind; caller i sends the bytes of `variants[i % variants.size()]`.
struct Crowd {
    std::size_t callers = 0;
    std::vector<CallerBytes> variants;
};

//! Returns a crowd without callers if the kind is unknown.
Crowd crowdOfKind(const std::string& kind);

//! The host name of all routes.
inline constexpr const char* routeHost = "sequoia.example";

}
