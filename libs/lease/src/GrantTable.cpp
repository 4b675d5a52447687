#include "GrantTable.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace sequoia::lease {

std::size_t majorityOf(const WitnessList& witnesses)
{
    return static_cast<std::size_t>(witnesses.size()) / 2 + 1;
}

bool contains(const WitnessList& witnesses, const std::string& incarnation)
{
    return std::any_of(witnesses.begin(), witnesses.end(),
        [&](const wire::Process& witness) { return witness.incarnation() == incarnation; });
}

void GrantTable::clear()
{
    this->grants.clear();
}

void GrantTable::add(
    const std::string& witness, TimePoint sentAt, std::uint64_t generation, std::uint64_t recordVersion)
{
    auto [entry, isNew] = this->grants.try_emplace(witness, Grant { sentAt, generation, recordVersion });
    if (isNew)
        return;
    auto& grant = entry->second;
    grant.sentAt = std::max(grant.sentAt, sentAt);
    grant.generation = std::max(grant.generation, generation);
    grant.recordVersion = std::max(grant.recordVersion, recordVersion);
}

std::size_t GrantTable::count(const WitnessList& witnesses) const
{
    return static_cast<std::size_t>(std::count_if(witnesses.begin(), witnesses.end(),
        [this](const wire::Process& witness) { return this->grants.contains(witness.incarnation()); }));
}

std::optional<TimePoint> GrantTable::majoritySentAt(const WitnessList& witnesses) const
{
    std::vector<TimePoint> times;
    for (const auto& witness : witnesses) {
        if (auto time = this->lastSentAt(witness.incarnation()))
            times.push_back(*time);
    }
    auto majority = majorityOf(witnesses);
    if (times.size() < majority)
        return std::nullopt;
    std::sort(times.begin(), times.end(), std::greater<>());
    return times[majority - 1];
}

bool GrantTable::hasMajorityAt(
    const WitnessList& witnesses, std::uint64_t generation, std::uint64_t recordVersion) const
{
    std::size_t acknowledged = 0;
    for (const auto& witness : witnesses) {
        auto found = this->grants.find(witness.incarnation());
        if (found == this->grants.end())
            continue;
        const auto& grant = found->second;
        if (grant.generation >= generation && grant.recordVersion >= recordVersion)
            ++acknowledged;
    }
    return acknowledged >= majorityOf(witnesses);
}

std::optional<TimePoint> GrantTable::lastSentAt(const std::string& witness) const
{
    auto found = this->grants.find(witness);
    if (found == this->grants.end())
        return std::nullopt;
    return found->second.sentAt;
}

}
