#pragma once

#include "core/EnumTable.h"

#include <span>
#include <string_view>

namespace sequoia::dispatch {

//! What the caller can conclude about the execution of its request.
enum class Outcome {
    Answered, //!< The complete response of the server was passed to the caller.
    NotRun, //!< No byte was sent, or the server reported that it did not start.
    Unknown, //!< The request may have run.
};

inline constexpr EnumTable<Outcome, 3> outcomeNames { {
    { Outcome::Answered, "answered" },
    { Outcome::NotRun, "not-run" },
    { Outcome::Unknown, "unknown" },
} };

//! Why a request was not answered.
enum class RefusalCode {
    MalformedHeader,
    MissingKey,
    MissingService,
    BodyIncomplete,
    BodyTooLarge,
    UnknownService,
    HeadersTooLarge,
    QueueFull,
    TenantShare,
    BadResponse,
    ConnectionLost,
    NoOwner,
    Stopping,
    ServerRejected,
    ServerUnreachable,
    DeadlineExceeded,
    DeadlineUnreachable,
    CallerGone, //!< The caller closed its connection, so no response is sent.
};

//! Name, HTTP status and texts of a refusal code.
struct RefusalTraits {
    RefusalCode code;
    std::string_view name;
    unsigned status;
    std::string_view message;
    std::string_view remedy;
};

const RefusalTraits& traitsOf(RefusalCode code);

//! The traits of all codes, used for metrics.
std::span<const RefusalTraits> allRefusals();

}
