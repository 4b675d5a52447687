#pragma once

#include <string>

namespace sequoia::edge {

//! Names of the headers that callers and backend servers of a deployment use.
struct HeaderNames {
    std::string requestId; //!< identifies one attempt of a caller; servers return it
    std::string deadline; //!< milliseconds that the sender will wait
    std::string signature; //!< proves that a response comes from a backend server
    std::string expectedServer; //!< id of the server that is to run the request
    std::string notExecuted; //!< the server did not run the request
    std::string key; //!< key of a keyed service
};

}
