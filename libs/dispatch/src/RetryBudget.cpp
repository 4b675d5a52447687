#include "dispatch/RetryBudget.h"

#include <algorithm>

namespace sequoia::dispatch {

namespace {

// The initial balance lets a worker with little traffic retry. It is small compared with the requests that a
// loaded worker receives in one second.
constexpr double maxTokens = 10;

}

RetryBudget::RetryBudget(double ratio)
    : tokensPerRequest(ratio)
    , tokens(ratio > 0 ? maxTokens : 0)
{
}

void RetryBudget::requestReceived()
{
    this->tokens = std::min(maxTokens, this->tokens + this->tokensPerRequest);
}

bool RetryBudget::hasToken() const
{
    return this->tokens >= 1;
}

bool RetryBudget::tryTakeToken()
{
    if (!this->hasToken())
        return false;
    this->tokens -= 1;
    return true;
}

}
