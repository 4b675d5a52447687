#include "coordination/StateReplica.h"

#include "coordination/StateEncoding.h"

#include <utility>

namespace sequoia::coordination {

namespace {

// Bounds what a malformed message can make a host allocate.
constexpr std::uint32_t maxBuckets = 65'536;
constexpr std::size_t maxGroups = 1000;
// Reports are sent every 150 ms.
constexpr unsigned roundsPerOwnerRequest = 8;

const std::vector<std::string> noContents;

}

std::set<std::string> StateReplica::apply(const wire::Datagram& datagram)
{
    std::set<std::string> changed;
    if (datagram.term() < this->term)
        return changed;
    if (datagram.term() > this->term) {
        this->term = datagram.term();
        this->lastDigestSequence = 0;
        for (auto& [name, group] : this->groups) {
            group.sequences.assign(group.sequences.size(), 0);
            group.announced = false;
        }
    }
    for (const auto& bucket : datagram.buckets())
        this->applyBucket(bucket, datagram.sequence(), changed);
    bool hasDigests = datagram.has_beacon() && datagram.beacon().digests_size() > 0;
    // Datagrams may overtake each other.
    if (!hasDigests || datagram.sequence() <= this->lastDigestSequence)
        return changed;
    this->lastDigestSequence = datagram.sequence();
    for (const auto& digest : datagram.beacon().digests()) {
        auto name = groupOf(digest);
        if (name.empty() || (!this->groups.contains(name) && this->groups.size() >= maxGroups))
            continue;
        auto& group = this->groups[name];
        group.announced = true;
        group.announcedDigest = digest.digest();
    }
    return changed;
}

void StateReplica::applyBucket(const wire::StateBucket& bucket, std::uint64_t sequence, std::set<std::string>& changed)
{
    if (bucket.count() > maxBuckets || bucket.index() >= bucket.count())
        return;
    if (!this->groups.contains(bucket.group()) && this->groups.size() >= maxGroups)
        return;
    auto& group = this->groups[bucket.group()];
    group.sequences.resize(bucket.count());
    if (sequence < group.sequences[bucket.index()])
        return;
    group.sequences[bucket.index()] = sequence;
    bool same = group.buckets.contents().size() == bucket.count()
        && group.buckets.contents()[bucket.index()] == bucket.content();
    group.buckets.replace(bucket.index(), bucket.count(), bucket.content());
    if (!same)
        changed.insert(bucket.group());
}

void StateReplica::assign(const std::string& name, std::vector<std::string> buckets)
{
    auto& group = this->groups[name];
    group.buckets.assign(std::move(buckets));
    group.sequences.resize(group.buckets.contents().size());
}

bool StateReplica::isCurrent(const std::string& name) const
{
    auto found = this->groups.find(name);
    return found != this->groups.end() && found->second.announced
        && found->second.announcedDigest == found->second.buckets.digest();
}

// Buckets may arrive before the digest that covers them, so a group may become current without a change.
bool StateReplica::takeChange(const std::string& name)
{
    if (!this->isCurrent(name))
        return false;
    auto& group = this->groups.find(name)->second;
    return std::exchange(group.takenDigest, group.announcedDigest) != group.announcedDigest;
}

const std::vector<std::string>& StateReplica::contents(const std::string& name) const
{
    auto found = this->groups.find(name);
    return found == this->groups.end() ? noContents : found->second.buckets.contents();
}

void StateReplica::fillRequests(wire::Report& report)
{
    bool withOwners = this->requestRound++ % roundsPerOwnerRequest == 0;
    for (const auto& [name, group] : this->groups) {
        if (!group.announced || group.announcedDigest == group.buckets.digest())
            continue;
        if (!withOwners && !serviceOfOwnerGroup(name).empty())
            continue;
        auto* request = report.add_state_requests();
        request->set_group(name);
        for (auto digest : group.buckets.digests())
            request->add_digests(digest);
    }
}

}
