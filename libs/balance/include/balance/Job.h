#pragma once

#include "core/Clock.h"
#include "core/EnumTable.h"
#include "fleet/KeyRange.h"

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace sequoia::balance {

//! Identifies a job among those of all hosts.
struct JobId {
    std::uint64_t host = 0;
    std::uint64_t number = 0;

    bool operator==(const JobId&) const = default;
    bool operator<(const JobId& other) const
    {
        return std::tie(this->host, this->number) < std::tie(other.host, other.number);
    }
};

struct JobIdHash {
    std::size_t operator()(JobId id) const { return id.host * 0x9E3779B97F4A7C15U ^ id.number; }
};

//! One attempt of a request that needs a backend server. A retry is a new job.
struct Job {
    JobId id;
    std::string service;
    std::optional<fleet::Key> key; //!< set for jobs of keyed services
    std::uint32_t priority = 0; //!< 0 is the most urgent
    TimePoint target {}; //!< an answer after this time is late for the caller
    TimePoint deadline {}; //!< an answer after this time is useless to the caller
    std::uint32_t attempt = 0; //!< number of backend servers that the request has reached before
    std::uint32_t maxAttempts = 1;
    std::vector<std::string> tried; //!< backend servers on which the request has failed
    std::string dataCentre; //!< data centre of the host that sends the request
    std::uint64_t fingerprint = 0; //!< equal for requests with the same content
    std::uint32_t workClass = 0; //!< number of the route, by which work is estimated; 0 if unknown
};

//! How a placed job ended.
enum class JobResult {
    Answered,
    ServerError, //!< The server answered completely and reported a failure.
    Rejected, //!< The server did not run it.
    WrongOwner, //!< The server does not own the key, or another server has its address.
    ConnectFailed, //!< Nothing was sent.
    Lost, //!< The connection ended, or the answer was malformed; the job may have run.
    TimedOut,
    Abandoned, //!< The caller disconnected, or the job was not sent for another reason.
};

inline constexpr EnumTable<JobResult, 8> jobResultNames { {
    { JobResult::Answered, "answered" },
    { JobResult::ServerError, "server-error" },
    { JobResult::Rejected, "rejected" },
    { JobResult::WrongOwner, "wrong-owner" },
    { JobResult::ConnectFailed, "connect-failed" },
    { JobResult::Lost, "lost" },
    { JobResult::TimedOut, "timed-out" },
    { JobResult::Abandoned, "abandoned" },
} };

//! Why a job was not placed on a backend server.
enum class RefusalReason {
    Overloaded, //!< The job cannot finish by its deadline.
    NoServer,
    NoOwner, //!< No server owns the key at the moment.
    RetryBudget,
    Quarantined, //!< Requests with the same content have crashed backend servers.
};

inline constexpr EnumTable<RefusalReason, 5> refusalReasonNames { {
    { RefusalReason::Overloaded, "overloaded" },
    { RefusalReason::NoServer, "no-server" },
    { RefusalReason::NoOwner, "no-owner" },
    { RefusalReason::RetryBudget, "retry-budget" },
    { RefusalReason::Quarantined, "quarantined" },
} };

struct JobPlacement {
    JobId job;
    std::string server;
};

struct JobRefusal {
    JobId job;
    RefusalReason reason = RefusalReason::Overloaded;
    Duration retryAfter {};
};

using SchedulingDecision = std::variant<JobPlacement, JobRefusal>;

}
