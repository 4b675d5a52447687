#pragma once

#include "core/Clock.h"

#include <control.pb.h>
#include <string>

namespace sequoia::lease {

//! The promises of one controller process for one partition, in memory only.
class Witness {
public:
    //! `incarnation` is the one of this process; requests addressed to another one are refused.
    Witness(std::string incarnation, Duration leaseLength, double clockRateBound);

    wire::PromiseReply handle(const wire::PromiseRequest& request, TimePoint now);

    //! Whether a promise to a candidate other than `incarnation` has not yet expired.
    bool hasPromisedOther(const std::string& incarnation, TimePoint now) const;

private:
    wire::PromiseOutcome decide(const wire::PromiseRequest& request, TimePoint now) const;

    std::string incarnation;
    Duration promiseLength;
    std::uint64_t generation = 0;
    std::uint64_t promisedTerm = 0;
    std::string promisedCandidate;
    TimePoint promiseEnd;
    std::uint64_t recordVersion = 0;
};

}
