#pragma once

#include <event.pb.h>
#include <string>
#include <vector>

namespace sequoia::operatorcli {

//! What the log lines of all hosts say about one request.
struct Explanation {
    bool found = false; //!< there is a line with the request's id
    std::vector<wire::Event> story; //!< the request's own lines and what belongs to them, cause before effect
    std::string conclusion; //!< what happened, and what to look at next
};

//! Finds a request among the events of any number of hosts.
Explanation explainRequest(const std::string& requestId, std::vector<wire::Event> events);

}
