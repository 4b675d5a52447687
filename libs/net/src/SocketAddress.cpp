#include "net/SocketAddress.h"

#include <arpa/inet.h>
#include <array>
#include <charconv>

namespace sequoia::net {

Result<SocketAddress> SocketAddress::parse(std::string_view text)
{
    Error malformed { ErrorKind::InvalidArgument, "\"" + std::string(text) + "\" is not an address",
        "write an IPv4 address and a port, for example 127.0.0.1:8080" };
    auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return malformed;
    std::uint16_t port = 0;
    auto [end, status] = std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
    if (status != std::errc() || end != text.data() + text.size())
        return malformed;
    SocketAddress address;
    address.value.sin_family = AF_INET;
    address.value.sin_port = htons(port);
    if (inet_pton(AF_INET, std::string(text.substr(0, colon)).c_str(), &address.value.sin_addr) != 1)
        return malformed;
    return address;
}

std::string SocketAddress::toString() const
{
    std::array<char, INET_ADDRSTRLEN> buffer {};
    inet_ntop(AF_INET, &this->value.sin_addr, buffer.data(), buffer.size());
    return std::string(buffer.data()) + ":" + std::to_string(ntohs(this->value.sin_port));
}

}
