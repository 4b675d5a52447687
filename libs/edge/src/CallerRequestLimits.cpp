#include "CallerRequest.h"

namespace sequoia::edge {

bool CallerRequest::refuseUnsent(unsigned status, Duration retryAfter, const std::string& reason)
{
    if (this->finished)
        return true;
    // 408 and 503 promise that the request has not run and never will.
    if (this->sent || this->mayHaveRun || this->forwarding)
        return false;
    this->withdrawJob();
    this->respondLocally(status, retryAfter, reason);
    return true;
}

void CallerRequest::addMemory(HeldMemory& held) const
{
    held.of(MemoryUse::RequestBody) += this->requestBody.memory();
    if (!this->connection)
        return;
    held.of(MemoryUse::Response) += this->connection->inputMemory();
    held.of(MemoryUse::Unsent) += this->connection->outputMemory();
}

}
