#include "timeline/HybridClock.h"

namespace sequoia::timeline {

HybridClock::HybridClock(const Clock& source)
    : clock(source)
{
}

wire::HybridTime HybridClock::tick()
{
    std::lock_guard lock(this->mutex);
    auto wall = this->clock.wallNow();
    if (wall > this->last.wall_ms()) {
        this->last.set_wall_ms(wall);
        this->last.set_counter(0);
    } else
        this->last.set_counter(this->last.counter() + 1);
    return this->last;
}

void HybridClock::observe(const wire::HybridTime& remote)
{
    std::lock_guard lock(this->mutex);
    if (isBefore(this->last, remote))
        this->last = remote;
}

bool isBefore(const wire::HybridTime& left, const wire::HybridTime& right)
{
    if (left.wall_ms() != right.wall_ms())
        return left.wall_ms() < right.wall_ms();
    return left.counter() < right.counter();
}

}
