#pragma once

#include "core/Error.h"

#include <netinet/in.h>
#include <string>
#include <string_view>

namespace sequoia::net {

//! An IPv4 address and port.
struct SocketAddress {
    sockaddr_in value {};

    //! Parses "IP:port".
    static Result<SocketAddress> parse(std::string_view text);

    std::string toString() const;
    const sockaddr* pointer() const { return reinterpret_cast<const sockaddr*>(&this->value); }
};

}
