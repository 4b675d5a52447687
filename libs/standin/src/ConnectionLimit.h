#pragma once

#include "GlibPtr.h"

#include <cstddef>
#include <libsoup/soup.h>
#include <map>

namespace sequoia::standin {

//! Counts the open connections that have carried a request. Connections for control only are not counted.
class ConnectionLimit {
public:
    enum class Connection {
        Known,
        New,
        Refused, //!< would exceed the limit
    };

    void setLimit(std::size_t connections) { this->limit = connections; }
    Connection check(SoupServerMessage* message);

private:
    std::size_t limit = 0;
    std::map<GSocket*, ObjectPtr<GSocket>> open;
};

}
