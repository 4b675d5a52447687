#include "Listening.h"

#include "GlibPtr.h"

namespace sequoia::standin {

Result<std::uint16_t> listenOn(SoupServer* server, const std::string& address)
{
    ObjectPtr<GSocketConnectable> parsed(g_network_address_parse(address.c_str(), 0, nullptr));
    ObjectPtr<GSocketAddress> wanted;
    if (parsed) {
        auto* network = G_NETWORK_ADDRESS(parsed.get());
        wanted.reset(g_inet_socket_address_new_from_string(
            g_network_address_get_hostname(network), g_network_address_get_port(network)));
    }
    if (!wanted)
        return Error { ErrorKind::InvalidSettings, "\"" + address + "\" is not an IP address with a port",
            "write IP:port, for example 127.0.0.1:8100" };
    GError* error = nullptr;
    if (!soup_server_listen(server, wanted.get(), static_cast<SoupServerListenOptions>(0), &error)) {
        ErrorPtr owned(error);
        return Error { ErrorKind::Unavailable, "cannot listen on " + address + ": " + owned->message,
            "stop the process that uses the address, or set server_standin.listen to another one" };
    }
    GSList* uris = soup_server_get_uris(server);
    auto port = static_cast<std::uint16_t>(g_uri_get_port(static_cast<GUri*>(uris->data)));
    g_slist_free_full(uris, reinterpret_cast<GDestroyNotify>(g_uri_unref));
    return port;
}

}
