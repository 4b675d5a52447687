#include "standin/Targets.h"

#include "GlibPtr.h"

#include <algorithm>
#include <cassert>
#include <gio/gio.h>
#include <limits>

namespace sequoia::standin {

std::vector<std::string> splitList(std::string_view text)
{
    std::vector<std::string> elements;
    while (!text.empty()) {
        auto comma = text.find(',');
        if (comma != 0)
            elements.emplace_back(text.substr(0, comma));
        if (comma == std::string_view::npos)
            break;
        text.remove_prefix(comma + 1);
    }
    return elements;
}

Result<Success> checkLoopback(const std::string& address)
{
    auto colon = address.rfind(':');
    auto port = colon == std::string::npos ? std::string() : address.substr(colon + 1);
    guint64 number = 0;
    if (!g_ascii_string_to_unsigned(port.c_str(), 10, 1, std::numeric_limits<guint16>::max(), &number, nullptr))
        return Error { ErrorKind::InvalidArgument, "\"" + address + "\" has no valid port",
            "write IP:port, for example 127.0.0.1:8080" };
    auto host = address.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    ObjectPtr<GInetAddress> parsed(g_inet_address_new_from_string(host.c_str()));
    if (!parsed || !g_inet_address_get_is_loopback(parsed.get()))
        return Error { ErrorKind::InvalidArgument, "\"" + address + "\" is not a loopback address",
            "load runs only against this machine; write 127.0.0.1:port or [::1]:port" };
    return Success {};
}

Result<std::vector<DirectServer>> parseDirect(std::string_view list)
{
    std::vector<DirectServer> servers;
    for (const auto& element : splitList(list)) {
        auto equals = element.find('=');
        DirectServer server;
        if (equals != std::string::npos)
            server.service = element.substr(0, equals);
        server.address = equals == std::string::npos ? element : element.substr(equals + 1);
        auto checked = checkLoopback(server.address);
        if (!succeeded(checked))
            return errorOf(checked);
        servers.push_back(std::move(server));
    }
    return servers;
}

DirectSlices::DirectSlices(std::size_t servers)
    : count(servers)
    , width(std::numeric_limits<std::uint64_t>::max() / servers)
{
    assert(servers > 0);
}

std::size_t DirectSlices::ownerOf(KeyHash hash) const
{
    return std::min<std::size_t>(hash / this->width, this->count - 1);
}

wire::GrantedSlice DirectSlices::slice(std::size_t server, std::uint64_t term) const
{
    wire::GrantedSlice slice;
    slice.set_first(server * this->width);
    bool isLast = server + 1 == this->count;
    slice.set_last(isLast ? std::numeric_limits<std::uint64_t>::max() : (server + 1) * this->width - 1);
    slice.mutable_epoch()->set_term(term);
    slice.mutable_epoch()->set_sequence(server + 1);
    return slice;
}

}
