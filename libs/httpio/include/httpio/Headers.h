#pragma once

#include "core/Clock.h"
#include "core/Error.h"
#include "dispatch/Outcome.h"

#include <libsoup/soup.h>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace sequoia::httpio {

using HeaderList = std::vector<std::pair<std::string, std::string>>;

namespace header {

inline constexpr const char* service = "Sequoia-Service";
inline constexpr const char* key = "Sequoia-Key";
inline constexpr const char* deadline = "Sequoia-Deadline-Ms";
inline constexpr const char* repeatable = "Sequoia-Repeatable";
inline constexpr const char* idempotencyKey = "Sequoia-Idempotency-Key";
inline constexpr const char* tenant = "Sequoia-Tenant";
inline constexpr const char* requestId = "Sequoia-Request-Id";
inline constexpr const char* sliceEpoch = "Sequoia-Slice-Epoch";
inline constexpr const char* outcome = "Sequoia-Outcome";

}

inline constexpr std::size_t maxHeaderBlockBytes = 64UL * 1024;
inline constexpr std::size_t maxKeyBytes = 1024;
inline constexpr std::size_t maxIdempotencyKeyBytes = 128;
inline constexpr std::int64_t maxDeadlineMillis = 600'000;

//! Headers that callers address to the router, checked.
struct RequestHeaders {
    std::string service;
    std::string key;
    std::string tenant;
    std::optional<Duration> deadline;
    bool repeatable = false;
};

//! Why headers are refused; `detail` names the header.
struct HeaderFault {
    dispatch::RefusalCode code;
    std::string detail;
};

std::variant<RequestHeaders, HeaderFault> parseRequestHeaders(const char* method, SoupMessageHeaders* headers);

//! Size of the header block as received, about.
std::size_t headerBlockBytes(SoupMessageHeaders* headers);

//! End-to-end headers of a request without those that the router replaces.
HeaderList forwardedRequestHeaders(SoupMessageHeaders* headers);

//! End-to-end headers of a response without those that the router replaces.
HeaderList forwardedResponseHeaders(SoupMessageHeaders* headers);

//! How the length of a body is announced.
enum class Framing {
    None,
    Length,
    Chunked,
    Invalid, //!< Ambiguous or not understood.
};

Framing framingOf(SoupMessageHeaders* headers);

}
