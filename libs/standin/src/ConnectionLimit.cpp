#include "ConnectionLimit.h"

namespace sequoia::standin {

ConnectionLimit::Connection ConnectionLimit::check(SoupServerMessage* message)
{
    auto* socket = soup_server_message_get_socket(message);
    // The connection of a message is gone when its caller has left, for example while the process was paused.
    if (!socket)
        return Connection::Refused;
    // libsoup may keep the object of a closed socket, so its state counts, not its existence.
    std::erase_if(this->open, [](const auto& entry) { return g_socket_is_closed(entry.first); });
    if (this->open.contains(socket))
        return Connection::Known;
    if (this->open.size() >= this->limit)
        return Connection::Refused;
    this->open.emplace(socket, takeReference(socket));
    return Connection::New;
}

}
