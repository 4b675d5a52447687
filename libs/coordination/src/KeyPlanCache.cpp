#include "coordination/KeyPlanCache.h"

namespace sequoia::coordination {

Result<Success> KeyPlanCache::update(const std::string& service, const std::vector<std::string>& encoded)
{
    auto& buckets = this->bucketsByService[service];
    buckets.resize(encoded.size());
    ++this->version;
    bool malformed = false;
    for (std::size_t i = 0; i < encoded.size(); ++i) {
        if (buckets[i].encoded == encoded[i])
            continue;
        wire::OwnedRanges ranges;
        if (!ranges.ParseFromString(encoded[i])) {
            malformed = true;
            continue;
        }
        buckets[i] = { encoded[i], std::move(ranges) };
    }
    if (malformed)
        return Error { ErrorKind::MalformedMessage, "a part of the owners of " + service + " is malformed",
            "check that all hosts run the same version" };
    return Success {};
}

balance::Owner KeyPlanCache::ownerOf(std::string_view service, fleet::Key key) const
{
    auto found = this->bucketsByService.find(service);
    // A host that has just started learns the owners as soon as there is a coordinator.
    if (found == this->bucketsByService.end() || found->second.empty())
        return { balance::Ownership::Moving, {} };
    const auto& bucket = found->second[std::size_t(key) * found->second.size() / fleet::keyCount];
    for (const auto& range : bucket.ranges.ranges()) {
        if (key < range.first() || key > range.last())
            continue;
        if (range.moving())
            return { balance::Ownership::Moving, {} };
        if (!range.owner().empty())
            return { balance::Ownership::Owned, range.owner() };
    }
    return { balance::Ownership::Unowned, {} };
}

}
