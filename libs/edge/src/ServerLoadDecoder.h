#pragma once

#include "balance/ServerReport.h"
#include "edge/EdgeServer.h"
#include "http/MessageHead.h"

#include <optional>
#include <string>

namespace sequoia::edge {

//! The load that the head of a response states, and the value of a header that was ignored or bounded.
struct DecodedLoad {
    std::optional<balance::ServerReport> report;
    std::string invalidValue; //!< empty if the header is missing or valid
};

//! Decodes `running,waiting,slots[,pace]`. A header that is malformed, repeated or out of range is ignored; more
//! running requests than slots are bounded.
DecodedLoad decodeServerLoad(const http::MessageHead& response, const HeaderNames& names);

//! Counts a value that was ignored or bounded, and logs it once per server and period.
void recordInvalidLoad(EdgeContext& context, const std::string& server, const std::string& value);

}
