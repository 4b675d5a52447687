#include "standin/TargetPicker.h"

#include <algorithm>
#include <cassert>

namespace sequoia::standin {

TargetPicker::TargetPicker(std::size_t count, Duration skipTime)
    : skippedUntil(count, TimePoint::min())
    , skip(skipTime)
{
    assert(count > 0);
}

std::size_t TargetPicker::pick(TimePoint now)
{
    for (std::size_t tried = 0; tried < this->skippedUntil.size(); ++tried) {
        auto target = this->next;
        this->next = (this->next + 1) % this->skippedUntil.size();
        if (this->skippedUntil[target] <= now)
            return target;
    }
    auto first = std::min_element(this->skippedUntil.begin(), this->skippedUntil.end());
    return static_cast<std::size_t>(first - this->skippedUntil.begin());
}

void TargetPicker::refused(std::size_t target, TimePoint now)
{
    this->skippedUntil[target] = now + this->skip;
}

}
