#pragma once

#include <string>

namespace sequoia::edge {

//! Names of the headers used by callers and backend servers.
struct HeaderNames {
    std::string requestId; //!< identifies one attempt of a caller; echoed in the response
    std::string deadline; //!< remaining time of the sender in milliseconds
    std::string signature; //!< proves that a response comes from a backend server
    std::string expectedServer; //!< id of the server that is to run the request
    std::string notExecuted; //!< set if the server did not execute the request
    std::string key; //!< key of a keyed service
    std::string leaving; //!< set to 1 by a server that takes no new requests
    std::string load; //!< load that a server states; empty if servers state none
};

}
