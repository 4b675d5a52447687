#pragma once

#include "balance/Job.h"
#include "balance/ServerNotice.h"
#include "balance/ServerReport.h"

#include <cstdint>
#include <optional>
#include <string>

namespace sequoia::edge {

//! The backend server that is to run a job.
struct PlacementTarget {
    std::string server;
    std::string address;
    std::uint64_t term = 0; //!< term of the coordinator that decided; 0 if this host decided on its own
};

//! Why a job gets no backend server.
struct PlacementRefusal {
    balance::RefusalReason reason = balance::RefusalReason::Overloaded;
    Duration retryAfter {};
    std::uint64_t term = 0; //!< as in PlacementTarget
};

//! Receives the placement decision for a job.
class PlacementObserver {
public:
    virtual ~PlacementObserver() = default;
    virtual void onPlaced(std::uint64_t job, const PlacementTarget& target) = 0;
    virtual void onRefused(std::uint64_t job, const PlacementRefusal& refusal) = 0;
};

//! Finds a backend server for each job. Decisions go to the observer, possibly from within submit().
class Placer {
public:
    virtual ~Placer() = default;
    virtual void submit(const balance::Job& job, PlacementObserver& observer) = 0;
    //! Cancels a job that is not placed yet.
    virtual void withdraw(std::uint64_t job) = 0;
    //! Reports the end of a placed job, with the load that its server stated.
    virtual void reportEnd(std::uint64_t job, balance::JobResult result, Duration elapsed,
        const std::optional<balance::ServerReport>& load)
        = 0;
    //! Reports what the server of a placed job announced about itself. Returns whether it was not known.
    virtual bool reportNotice(std::uint64_t job, const balance::ServerNotice& notice) = 0;
};

}
