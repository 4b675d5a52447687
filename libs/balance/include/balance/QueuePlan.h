#pragma once

#include "balance/Job.h"
#include "balance/WorkEstimates.h"

#include <vector>

namespace sequoia::balance {

//! What the servers of a queue can do at a moment.
struct QueueCapacity {
    double slots = 0; //!< jobs that run at once
    double slowness = 1; //!< duration of work relative to that on a server of average speed
    double inFlight = 0; //!< jobs that run, or wait at the server
    Duration unusableFor {}; //!< time until the servers may get jobs again
    //! Share of the capacity that arriving jobs need which can meet their targets.
    double onTimeLoad = 0;
    unsigned urgentStarts = 0; //!< consecutive jobs that were started before less urgent ones
};

//! A waiting job that will not be served by its deadline.
struct QueueEviction {
    const Job* job = nullptr;
    Duration wait {}; //!< time until the jobs before it are done
};

//! Order in which the jobs of a queue get the next slots, and the jobs that get none in time.
struct QueuePlan {
    std::vector<const Job*> order;
    std::vector<QueueEviction> evictions;
    bool firstPassesUrgentOnes = false; //!< the first job goes before more urgent ones, which must not starve it
};

//! Decides which jobs wait, in which order, and which are refused when a queue has too little room.
//!
//! Answers overload by bursts, hot keys and slow servers. Jobs that can still meet their targets go before late ones;
//! among them the more urgent ones, with a share for the others, then those with the earliest target. Late jobs get
//! what the jobs that arrive on time leave over. A job whose expected wait and work end after its deadline is evicted
//! at once.
QueuePlan planQueue(
    const std::vector<const Job*>& waiting, const WorkEstimates& work, const QueueCapacity& capacity, TimePoint now);

}
