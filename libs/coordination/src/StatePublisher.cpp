#include "coordination/StatePublisher.h"

namespace sequoia::coordination {

namespace {

// Changes larger than this are not sent to all hosts at once; the hosts ask for them.
constexpr std::size_t maxPushedBytes = std::size_t { 16 } * 1024;
// Keeps a datagram within one Ethernet frame: the loss of one fragment would lose all of them.
constexpr std::size_t maxDatagramBytes = 1300;

}

void StatePublisher::publish(const std::string& group, std::vector<std::string> buckets)
{
    for (auto index : this->groups[group].assign(std::move(buckets)))
        this->changed.emplace(group, index);
}

void StatePublisher::fillDigests(wire::Beacon& beacon) const
{
    for (const auto& [name, group] : this->groups) {
        auto* digest = beacon.add_digests();
        digest->set_group(name);
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

std::vector<wire::StateBucket> StatePublisher::takeChanges()
{
    std::vector<wire::StateBucket> buckets;
    std::size_t bytes = 0;
    for (const auto& [group, index] : this->changed) {
        // The group may have become shorter since.
        if (index < this->groups.at(group).contents().size())
            buckets.push_back(this->makeBucket(group, index));
    }
    this->changed.clear();
    for (const auto& bucket : buckets)
        bytes += bucket.content().size();
    if (bytes > maxPushedBytes)
        buckets.clear();
    return buckets;
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
    std::size_t bytes = maxDatagramBytes;
    for (const auto& bucket : buckets) {
        auto size = bucket.ByteSizeLong();
        if (datagrams.empty() || bytes + size > maxDatagramBytes) {
            datagrams.emplace_back();
            bytes = 0;
        }
        *datagrams.back().add_buckets() = bucket;
        bytes += size;
    }
    return datagrams;
}

}
