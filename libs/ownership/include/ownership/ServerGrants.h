#pragma once

#include "core/Clock.h"
#include "core/KeyHash.h"

#include <backend.pb.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sequoia::ownership {

//! The backend server's handling of grants (design, 4.2). Used by the stand-in server and by tests.
class ServerGrants {
public:
    //! With `checksOrders` false the server accepts every grant, even from a stale controller, and ignores leases.
    ServerGrants(std::string incarnation, bool checksOrders);

    wire::GrantReply handle(const wire::GrantRequest& request, TimePoint now);

    //! Whether the server may start a request for this hash now. Called immediately before the start.
    bool mayServe(KeyHash hash, TimePoint now) const;

    //! Records the start of a request. Returns a token for finish(), or nothing when the server may not serve the hash.
    std::optional<std::uint64_t> start(KeyHash hash, TimePoint now);
    void finish(std::uint64_t token);

private:
    //! A slice granted under one epoch; the same slice under another epoch is a different assignment.
    struct Assignment {
        KeyHash first = 0;
        KeyHash last = 0;
        std::uint64_t term = 0;
        std::uint64_t sequence = 0;

        bool operator<(const Assignment& other) const;
    };

    wire::GrantOutcome checkRequest(const wire::GrantRequest& request) const;
    void accept(const wire::GrantRequest& request);
    wire::GrantReply reply(wire::GrantOutcome outcome, TimePoint now) const;
    const Assignment* find(KeyHash hash) const;
    bool holds(const Assignment& assignment) const;
    bool hasLease(TimePoint now) const;

    std::string incarnation;
    bool checksOrders;
    std::uint64_t acceptedTerm = 0;
    std::uint64_t acceptedSequence = 0;
    TimePoint leaseEnd;
    std::vector<Assignment> held; //!< ordered by first
    std::map<Assignment, std::uint32_t> inProgress;
    std::map<std::uint64_t, Assignment> requests;
    std::uint64_t nextToken = 1;
};

}
