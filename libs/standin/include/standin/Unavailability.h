#pragma once

#include "core/Clock.h"
#include "core/KeyHash.h"

#include <array>
#include <vector>

namespace sequoia::standin {

//! Unavailable time per group of keys. An interval lasts from the start of a request that failed to the end of the
//! first successful request that started after it.
class Unavailability {
public:
    static constexpr std::size_t groupCount = 64;

    struct Summary {
        Duration sum {};
        Duration longest {};
        std::uint32_t groups = 0; //!< with at least one failure
        std::uint32_t unrecovered = 0; //!< groups without a success after their last failure
    };

    void success(KeyHash hash, TimePoint start, TimePoint end);
    void failure(KeyHash hash, TimePoint start);

    //! Intervals that have no success yet last until `now`.
    Summary summary(TimePoint now) const;

private:
    struct Success {
        TimePoint start;
        TimePoint end;
    };

    struct Group {
        std::vector<Success> successes;
        std::vector<TimePoint> failures;
    };

    static void addGroup(const Group& group, TimePoint now, Summary& summary);

    std::array<Group, groupCount> groups;
};

}
