#include "coordination/StatePublisher.h"

#include "coordination/StateEncoding.h"

namespace sequoia::coordination {

void StatePublisher::publish(const std::string& group, std::vector<std::string> buckets)
{
    this->groups[group].assign(std::move(buckets));
}

void StatePublisher::fillDigests(wire::Beacon& beacon, bool withOwners) const
{
    for (const auto& [name, group] : this->groups) {
        if (!withOwners && !serviceOfOwnerGroup(name).empty())
            continue;
        auto* digest = beacon.add_digests();
        setGroup(name, *digest);
        digest->set_digest(group.digest());
    }
}

wire::StateBucket StatePublisher::makeBucket(const std::string& group, std::uint32_t index) const
{
    const auto& contents = this->groups.at(group).contents();
    wire::StateBucket bucket;
    bucket.set_group(group);
    bucket.set_index(index);
    bucket.set_count(static_cast<std::uint32_t>(contents.size()));
    bucket.set_content(contents.at(index));
    return bucket;
}

std::vector<wire::StateBucket> StatePublisher::differences(const wire::StateRequest& request) const
{
    std::vector<wire::StateBucket> buckets;
    auto found = this->groups.find(request.group());
    if (found == this->groups.end())
        return buckets;
    const auto& digests = found->second.digests();
    bool sameCount = static_cast<std::size_t>(request.digests_size()) == digests.size();
    for (std::size_t i = 0; i < digests.size(); ++i) {
        if (!sameCount || request.digests(static_cast<int>(i)) != digests[i])
            buckets.push_back(this->makeBucket(request.group(), static_cast<std::uint32_t>(i)));
    }
    return buckets;
}

std::vector<wire::Datagram> splitBuckets(const std::vector<wire::StateBucket>& buckets)
{
    std::vector<wire::Datagram> datagrams;
    std::size_t bytes = maxPacketBytes;
    for (const auto& bucket : buckets) {
        auto size = bucket.ByteSizeLong();
        if (datagrams.empty() || bytes + size > maxPacketBytes) {
            datagrams.emplace_back();
            bytes = 0;
        }
        *datagrams.back().add_buckets() = bucket;
        bytes += size;
    }
    return datagrams;
}

}
