#include "dispatch/Outcome.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace sequoia::dispatch {

namespace {

using enum RefusalCode;

constexpr unsigned noStatus = 0;

constexpr auto refusals = std::to_array<RefusalTraits>({
    { MalformedHeader, "malformed-header", 400, "a request header is malformed", "correct the header and send again" },
    { MissingKey, "missing-key", 400, "the header Sequoia-Key is missing", "name the key that the request is for" },
    { MissingService, "missing-service", 400, "the header Sequoia-Service is missing",
        "name the service that the request is for" },
    { BodyIncomplete, "body-incomplete", 400, "the request body is shorter than announced", "send the whole body" },
    { BodyTooLarge, "body-too-large", 400, "the request body exceeds the service's limit",
        "send a smaller body or raise max_body of the service" },
    { UnknownService, "unknown-service", 404, "the service is not configured",
        "check the name or add a [service NAME] section" },
    { HeadersTooLarge, "headers-too-large", 431, "the header block exceeds 64 KiB", "send fewer or shorter headers" },
    { QueueFull, "queue-full", 429, "too many requests wait for the backend server", "send again after Retry-After" },
    { TenantShare, "tenant-share", 429, "the tenant's share of the queue is used up", "send again after Retry-After" },
    { BadResponse, "bad-response", 502, "the backend server's response is malformed or for another request",
        "find out whether the request ran before sending it again" },
    { ConnectionLost, "connection-lost", 502, "the connection to the backend server broke after sending began",
        "find out whether the request ran before sending it again" },
    { NoOwner, "no-owner", 503, "the key has no owner now", "send again after Retry-After" },
    { Stopping, "stopping", 503, "the router is stopping", "send again on a new connection" },
    { ServerRejected, "server-rejected", 503, "the backend server rejected the request and did not start it",
        "send again after Retry-After" },
    { ServerUnreachable, "server-unreachable", 503, "the backend server accepts no connection",
        "send again after Retry-After" },
    { DeadlineExceeded, "deadline-exceeded", 504, "the deadline passed", "allow more time or send less" },
    { DeadlineUnreachable, "deadline-unreachable", 504, "the queue is too long for the deadline to be met",
        "send again later or allow more time" },
    { CallerGone, "caller-gone", noStatus, "the caller closed the connection", "" },
});

}

const RefusalTraits& traitsOf(RefusalCode code)
{
    const auto* found = std::find_if(
        refusals.begin(), refusals.end(), [code](const RefusalTraits& traits) { return traits.code == code; });
    assert(found != refusals.end());
    return *found;
}

std::span<const RefusalTraits> allRefusals()
{
    return refusals;
}

}
