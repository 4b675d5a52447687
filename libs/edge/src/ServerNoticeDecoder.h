#pragma once

#include "balance/ServerNotice.h"
#include "edge/HeaderNames.h"
#include "http/MessageHead.h"

#include <string>

namespace sequoia::edge {

//! What the head of a response says about its server, and the value of a header that was ignored.
struct DecodedNotice {
    balance::ServerNotice notice;
    std::string invalidRetryAfter; //!< empty if the header is missing or valid
};

//! Decodes the announcements of a backend server. A Retry-After that is not a number of seconds is ignored, and one
//! above balance::maxServerPause is reduced to it.
DecodedNotice decodeServerNotice(const http::MessageHead& response, const HeaderNames& names);

}
