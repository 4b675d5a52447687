#include "standin/Unavailability.h"

#include <algorithm>

namespace sequoia::standin {

namespace {

constexpr unsigned groupShift = 58;
static_assert((std::uint64_t(1) << (64 - groupShift)) == Unavailability::groupCount);

}

void Unavailability::success(KeyHash hash, TimePoint start, TimePoint end)
{
    this->groups[hash >> groupShift].successes.push_back({ start, end });
}

void Unavailability::failure(KeyHash hash, TimePoint start)
{
    this->groups[hash >> groupShift].failures.push_back(start);
}

void Unavailability::addGroup(const Group& group, TimePoint now, Summary& summary)
{
    if (group.failures.empty())
        return;
    ++summary.groups;
    auto failures = group.failures;
    std::sort(failures.begin(), failures.end());
    auto successes = group.successes;
    std::sort(successes.begin(), successes.end(),
        [](const Success& left, const Success& right) { return left.start < right.start; });
    // Results arrive out of order, so the earliest end among all later starts is what counts.
    TimePoint earliest = TimePoint::max();
    for (auto success = successes.rbegin(); success != successes.rend(); ++success) {
        earliest = std::min(earliest, success->end);
        success->end = earliest;
    }
    TimePoint covered = TimePoint::min();
    for (auto start : failures) {
        if (start < covered)
            continue;
        auto next = std::lower_bound(successes.begin(), successes.end(), start,
            [](const Success& success, TimePoint time) { return success.start < time; });
        bool recovered = next != successes.end();
        auto end = recovered ? next->end : std::max(now, start);
        summary.sum += end - start;
        summary.longest = std::max(summary.longest, Duration(end - start));
        covered = end;
        if (!recovered) {
            ++summary.unrecovered;
            return;
        }
    }
}

Unavailability::Summary Unavailability::summary(TimePoint now) const
{
    Summary summary;
    for (const auto& group : this->groups)
        addGroup(group, now, summary);
    return summary;
}

}
