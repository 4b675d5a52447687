#include "httpio/SocketEnd.h"

#include <cerrno>
#include <sys/socket.h>

namespace sequoia::httpio {

bool isAtEnd(GSocket* socket)
{
    if (!socket || g_socket_is_closed(socket))
        return true;
    char byte = 0;
    auto count = recv(g_socket_get_fd(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR);
}

}
