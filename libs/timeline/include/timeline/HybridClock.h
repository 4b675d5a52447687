#pragma once

#include "core/Clock.h"

#include <event.pb.h>
#include <mutex>

namespace sequoia::timeline {

//! Hybrid logical clock: follows the wall clock, but never orders an effect before its cause.
class HybridClock {
public:
    explicit HybridClock(const Clock& clock);

    //! Returns the time for a local event or for a message to be sent.
    wire::HybridTime tick();

    //! Advances the clock to the time of a received message, if that is later.
    void observe(const wire::HybridTime& remote);

private:
    const Clock& clock;
    std::mutex mutex;
    wire::HybridTime last;
};

bool isBefore(const wire::HybridTime& left, const wire::HybridTime& right);

}
