#include "balance/RetryBudget.h"

#include <algorithm>
#include <cassert>

namespace sequoia::balance {

namespace {

// Share of the budget that is used. The rest covers retries in flight and hosts that temporarily decide independently,
// which together must not exceed the budget.
constexpr double usedBudgetShare = 0.8;
// Counts are removed by parts of the window, so the sum covers between one window and one part more.
constexpr std::int64_t partsPerWindow = 10;

}

RetryBudget::RetryBudget(Duration length, double allowedRatio, double allowedSlack)
    : window(length)
    , ratio(allowedRatio)
    , slack(allowedSlack)
{
    assert(length > Duration::zero());
}

void RetryBudget::setLimits(Duration length, double allowedRatio, double allowedSlack)
{
    assert(length > Duration::zero());
    // Retries that have left the old window may still lie in a longer one, so the slack becomes available anew.
    if (length > this->window)
        this->firstUse.reset();
    this->window = length;
    this->ratio = allowedRatio;
    this->slack = allowedSlack;
}

void RetryBudget::recordRequest(TimePoint now)
{
    ++this->currentCounts(now).requests;
}

bool RetryBudget::tryAcquire(TimePoint now, double share)
{
    auto& current = this->currentCounts(now);
    double requests = 0;
    double retries = 0;
    for (const auto& entry : this->parts) {
        requests += static_cast<double>(entry.requests);
        retries += static_cast<double>(entry.retries);
    }
    // Another scheduler may have used the slack of this window before this one took over, so slack becomes available in
    // proportion to the time since the first use.
    double elapsedWindowShare
        = static_cast<double>((now - *this->firstUse).count()) / static_cast<double>(this->window.count());
    double usableSlack = this->slack * share * std::clamp(elapsedWindowShare, 0.0, 1.0);
    if (retries + 1 > usedBudgetShare * (this->ratio * requests + usableSlack))
        return false;
    ++current.retries;
    return true;
}

RetryBudget::Counts& RetryBudget::currentCounts(TimePoint now)
{
    if (!this->firstUse)
        this->firstUse = now;
    while (!this->parts.empty() && now >= this->parts.front().end + this->window)
        this->parts.pop_front();
    if (this->parts.empty() || now >= this->parts.back().end) {
        auto length = (this->window.count() + partsPerWindow - 1) / partsPerWindow;
        this->parts.push_back({ TimePoint(Duration((now.time_since_epoch().count() / length + 1) * length)), 0, 0 });
    }
    return this->parts.back();
}

}
