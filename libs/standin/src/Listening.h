#pragma once

#include "core/Error.h"

#include <cstdint>
#include <libsoup/soup.h>
#include <string>

namespace sequoia::standin {

//! Makes the server listen on IP:port and returns the port; port 0 selects a free one.
Result<std::uint16_t> listenOn(SoupServer* server, const std::string& address);

}
