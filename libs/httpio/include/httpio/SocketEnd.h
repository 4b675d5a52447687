#pragma once

#include <gio/gio.h>

namespace sequoia::httpio {

//! Whether the peer has ended the connection and everything it sent has been read. True for no socket.
//! libsoup takes the end of the connection between two chunks for the end of the body, so a chunked body is
//! believed complete only on a connection that goes on.
bool isAtEnd(GSocket* socket);

}
