#include "relay/FetchSource.h"

#include <algorithm>

namespace sequoia::relay {

FetchSource::FetchSource(std::string selfAddress)
    : self(std::move(selfAddress))
{
}

void FetchSource::setPeers(const std::vector<std::string>& addresses)
{
    this->peers = addresses;
    std::erase(this->peers, this->self);
}

void FetchSource::onRecord(const wire::Process& recordedHolder)
{
    this->learn(recordedHolder);
}

bool FetchSource::onReply(const std::string& asked, const wire::FetchRoutesReply& reply)
{
    const auto& named = reply.holder();
    if (named.address() == asked) {
        this->failedHolder.clear();
        this->knownHolder = named;
        return true;
    }
    if (this->knownHolder.address() == asked)
        this->knownHolder.Clear();
    this->learn(named);
    return false;
}

void FetchSource::onFailure(const std::string& asked)
{
    if (this->knownHolder.address() != asked)
        return;
    this->knownHolder.Clear();
    this->failedHolder = asked;
}

std::optional<std::string> FetchSource::next()
{
    if (!this->knownHolder.address().empty())
        return this->knownHolder.address();
    if (this->peers.empty())
        return std::nullopt;
    this->cursor = (this->cursor + 1) % this->peers.size();
    return this->peers[this->cursor];
}

void FetchSource::learn(const wire::Process& process)
{
    // Others name a lost holder until they notice the loss themselves. Only its own answer makes it known again.
    if (process.address().empty() || process.address() == this->self || process.address() == this->failedHolder)
        return;
    this->knownHolder = process;
}

}
