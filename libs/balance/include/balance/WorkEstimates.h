#pragma once

#include "core/Clock.h"

#include <cstdint>
#include <map>

namespace sequoia::balance {

//! Work of the jobs of a service, by work class (route), learned from answers. Answers load in which short and long
//! jobs wait for the same servers, so that an estimate for all of them would refuse the wrong ones.
//!
//! Work is the service time on a server of average speed.
class WorkEstimates {
public:
    //! Class 0 stands for jobs whose class is not known.
    void record(std::uint32_t workClass, Duration work);
    //! Average of the class; that of the service until there are enough answers of the class.
    Duration mean(std::uint32_t workClass) const;
    //! About two thirds of the jobs of the class need at most this.
    Duration likely(std::uint32_t workClass) const;

private:
    struct Estimate {
        double mean = 0;
        double deviation = 0; //!< mean absolute deviation
        unsigned samples = 0;
    };

    const Estimate& estimateFor(std::uint32_t workClass) const;

    Estimate service;
    std::map<std::uint32_t, Estimate> classes;
};

}
