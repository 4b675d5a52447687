#include "balance/RetryBudget.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <vector>

using namespace sequoia;
using namespace sequoia::balance;

namespace {

constexpr Duration step = std::chrono::milliseconds(20);

std::size_t mostInAnyWindow(const std::vector<TimePoint>& times, Duration window)
{
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] >= window)
            ++first;
        most = std::max(most, last - first + 1);
    }
    return most;
}

//! Takes retries in bursts with `pause` between them, as many as the budget gives.
std::vector<TimePoint> takeInBursts(RetryBudget& budget, TimePoint& now, Duration length, Duration pause)
{
    std::vector<TimePoint> taken;
    auto end = now + length;
    for (auto nextBurst = now; now < end; now += step) {
        budget.recordRequest(now);
        if (now < nextBurst)
            continue;
        while (budget.tryAcquire(now, 1))
            taken.push_back(now);
        nextBurst = now + pause;
    }
    return taken;
}

}

// Guards against retries beyond the budget, or an aborted process, with a window that is no whole number of seconds.
TEST_CASE("the slack is kept in every window of any length")
{
    constexpr double slack = 50;
    for (auto millis : { 200, 900, 1000, 1500, 2500, 9999, 10'000, 10'500, 60'300 }) {
        CAPTURE(millis);
        auto window = fromMillis(millis);
        for (auto pause : { window, window + window / 20, window + window / 50, window * 9 / 10 }) {
            RetryBudget budget(window, 0, slack);
            TimePoint now(std::chrono::milliseconds(123'900));
            auto taken = takeInBursts(budget, now, window * 12, pause);
            CHECK(mostInAnyWindow(taken, window) <= static_cast<std::size_t>(slack));
            CHECK(taken.size() >= 5 * static_cast<std::size_t>(slack) / 2);
        }
    }
}

// Guards against counts that outlive a short window: requests of earlier windows would pay for retries of this one.
TEST_CASE("the ratio is kept in every window of any length")
{
    constexpr double ratio = 0.2;
    for (auto millis : { 500, 1000, 1500, 10'500 }) {
        CAPTURE(millis);
        auto window = fromMillis(millis);
        RetryBudget budget(window, ratio, 0);
        TimePoint now(std::chrono::milliseconds(5300));
        auto taken = takeInBursts(budget, now, window * 10, step);
        auto requests = static_cast<double>(window / step);
        CHECK(static_cast<double>(mostInAnyWindow(taken, window)) <= ratio * requests);
        CHECK(static_cast<double>(taken.size()) >= ratio * requests);
    }
}

// Guards against a reload that forgets retries: those that have left the old window may still lie in the new one.
TEST_CASE("the slack is kept in the new window when the window becomes longer")
{
    constexpr double slack = 50;
    RetryBudget budget(std::chrono::seconds(2), 0, slack);
    TimePoint now(std::chrono::seconds(100));
    takeInBursts(budget, now, std::chrono::seconds(6), std::chrono::seconds(2));
    std::vector<TimePoint> taken;
    constexpr Duration longer = std::chrono::milliseconds(10'500);
    budget.setLimits(longer, 0, slack);
    auto changed = now;
    auto later = takeInBursts(budget, now, std::chrono::seconds(40), std::chrono::seconds(1));
    CHECK(mostInAnyWindow(later, longer) <= static_cast<std::size_t>(slack));
    CHECK(std::count_if(later.begin(), later.end(), [&](TimePoint time) {
        return time < changed + std::chrono::seconds(2);
    }) <= static_cast<std::ptrdiff_t>(slack / 4));
    CHECK(later.size() >= static_cast<std::size_t>(slack));
}
