#include "coordination/StateEncoding.h"

#include "core/EnumTable.h"

#include <algorithm>
#include <charconv>
#include <string_view>
#include <xxhash.h>

namespace sequoia::coordination {

namespace {

// With two thousand servers, a bucket of them has about a kilobyte, which fits a network packet.
constexpr std::size_t serverBuckets = 128;
constexpr std::size_t ownerBuckets = 64;
constexpr std::size_t keysPerBucket = fleet::keyCount / ownerBuckets;
constexpr std::size_t textBucketBytes = 1000;
constexpr std::string_view ownerPrefix = "owners/";

//! Numbers of groups in digests.
enum class GroupNumber : std::uint32_t {
    Servers = 1,
    Configuration = 2,
    Evacuations = 3,
};

constexpr EnumTable<GroupNumber, 3> groupNames { {
    { GroupNumber::Servers, serverGroup },
    { GroupNumber::Configuration, configurationGroup },
    { GroupNumber::Evacuations, evacuationGroup },
} };

void fillRow(const fleet::ServerEntry& entry, wire::ServerRow& row)
{
    row.set_id(entry.instance.id);
    row.set_born_ms(entry.instance.startMillis);
    row.set_service(entry.service);
    row.set_address(entry.address);
    row.set_data_centre(entry.dataCentre);
    row.set_slots(entry.slots);
    row.set_draining(entry.state == fleet::ServerState::Draining);
    row.set_cold(entry.cold);
}

fleet::ServerEntry entryOf(const wire::ServerRow& row)
{
    fleet::ServerEntry entry;
    entry.instance = { row.id(), row.born_ms() };
    entry.service = row.service();
    entry.address = row.address();
    entry.dataCentre = row.data_centre();
    entry.slots = std::max(1U, row.slots());
    entry.cold = row.cold();
    entry.state = row.draining() ? fleet::ServerState::Draining : fleet::ServerState::Ready;
    return entry;
}

//! The remaining warm-up time changes with every heartbeat and is not sent to hosts.
bool equalExceptWarmup(const fleet::ServerEntry& left, fleet::ServerEntry right)
{
    right.warmupLeft = left.warmupLeft;
    return left == right;
}

}

void setGroup(const std::string& group, wire::StateDigest& digest)
{
    if (auto number = valueNamed(groupNames, group))
        digest.set_group_number(static_cast<std::uint32_t>(*number));
    else
        digest.set_group(group);
}

std::string groupOf(const wire::StateDigest& digest)
{
    if (digest.group_number() == 0)
        return digest.group();
    for (const auto& [number, name] : groupNames) {
        if (static_cast<std::uint32_t>(number) == digest.group_number())
            return std::string(name);
    }
    return {};
}

bool isUrgentGroup(std::string_view group)
{
    return group == configurationGroup || group == evacuationGroup;
}

std::string ownerGroup(const std::string& service)
{
    return std::string(ownerPrefix) + service;
}

std::string serviceOfOwnerGroup(const std::string& group)
{
    return group.starts_with(ownerPrefix) ? group.substr(ownerPrefix.size()) : std::string();
}

std::vector<std::string> encodeServers(const fleet::ServerMap& servers)
{
    std::vector<wire::ServerRows> rows(serverBuckets);
    for (const auto& [id, entry] : servers)
        fillRow(entry, *rows[XXH3_64bits(id.data(), id.size()) % serverBuckets].add_rows());
    std::vector<std::string> buckets;
    buckets.reserve(rows.size());
    for (const auto& bucket : rows)
        buckets.push_back(bucket.SerializeAsString());
    return buckets;
}

Result<fleet::ServerMap> decodeServers(const std::vector<std::string>& buckets)
{
    fleet::ServerMap servers;
    for (const auto& bucket : buckets) {
        wire::ServerRows rows;
        if (!rows.ParseFromString(bucket))
            return Error { ErrorKind::MalformedMessage, "a part of the list of servers is malformed",
                "check that all hosts run the same version" };
        for (const auto& row : rows.rows())
            servers[row.id()] = entryOf(row);
    }
    return servers;
}

std::vector<wire::ServerChanges> encodeServerChanges(
    const fleet::ServerMap& before, const fleet::ServerMap& after, std::size_t maxBytes)
{
    std::vector<wire::ServerChanges> messages;
    std::size_t total = 0;
    std::size_t inMessage = maxPacketBytes;
    auto messageFor = [&](std::size_t bytes) -> wire::ServerChanges& {
        if (inMessage + bytes > maxPacketBytes) {
            messages.emplace_back();
            inMessage = 0;
        }
        inMessage += bytes;
        total += bytes;
        return messages.back();
    };
    for (const auto& [id, entry] : after) {
        auto old = before.find(id);
        if (old != before.end() && equalExceptWarmup(entry, old->second))
            continue;
        wire::ServerRow row;
        fillRow(entry, row);
        *messageFor(row.ByteSizeLong()).add_rows() = row;
    }
    for (const auto& [id, entry] : before) {
        if (!after.contains(id))
            messageFor(id.size()).add_removed(id);
    }
    if (total > maxBytes)
        messages.clear();
    return messages;
}

void applyServerChanges(const wire::ServerChanges& changes, fleet::ServerMap& servers)
{
    for (const auto& id : changes.removed())
        servers.erase(id);
    for (const auto& row : changes.rows())
        servers[row.id()] = entryOf(row);
}

std::vector<std::string> encodeOwners(const keyspace::KeyPlan& plan)
{
    std::vector<wire::OwnedRanges> buckets(ownerBuckets);
    for (const auto& range : plan.ranges) {
        bool moving = range.successor.has_value();
        // A bucket repeats no fences, so that it stays the same when a new coordinator raises them.
        const auto& owner = moving ? std::string() : range.owner.id;
        for (std::size_t first = range.keys.first; first <= range.keys.last;) {
            auto& bucket = buckets[first / keysPerBucket];
            auto last = std::min<std::size_t>(range.keys.last, (first / keysPerBucket + 1) * keysPerBucket - 1);
            auto* previous = bucket.ranges_size() > 0 ? bucket.mutable_ranges(bucket.ranges_size() - 1) : nullptr;
            if (previous && previous->owner() == owner && previous->moving() == moving)
                previous->set_last(static_cast<std::uint32_t>(last));
            else {
                auto* added = bucket.add_ranges();
                added->set_first(static_cast<std::uint32_t>(first));
                added->set_last(static_cast<std::uint32_t>(last));
                added->set_owner(owner);
                added->set_moving(moving);
            }
            first = last + 1;
        }
    }
    std::vector<std::string> result;
    result.reserve(buckets.size());
    for (const auto& bucket : buckets)
        result.push_back(bucket.SerializeAsString());
    return result;
}

std::vector<std::string> encodeText(const std::string& text)
{
    // An empty text has one bucket, since a group without buckets cannot be sent.
    std::vector<std::string> buckets { text.substr(0, textBucketBytes) };
    for (std::size_t at = textBucketBytes; at < text.size(); at += textBucketBytes)
        buckets.push_back(text.substr(at, textBucketBytes));
    return buckets;
}

std::string decodeText(const std::vector<std::string>& buckets)
{
    std::string text;
    for (const auto& bucket : buckets)
        text += bucket;
    return text;
}

std::vector<std::string> encodeEvacuations(const fleet::EvacuationState& state)
{
    // Each name is preceded by its length, since keys of rows may contain any character.
    auto text = std::to_string(state.version) + ":";
    for (const auto& dataCentre : state.dataCentres)
        text += std::to_string(dataCentre.size()) + ":" + dataCentre;
    return encodeText(text);
}

Result<fleet::EvacuationState> decodeEvacuations(const std::vector<std::string>& buckets)
{
    Error malformed { ErrorKind::MalformedMessage, "the state of the evacuations is malformed",
        "check that all hosts run the same version" };
    auto text = decodeText(buckets);
    std::string_view rest = text;
    auto takeNumber = [&rest](std::uint64_t& number) {
        auto [end, status] = std::from_chars(rest.data(), rest.data() + rest.size(), number);
        if (status != std::errc() || end == rest.data() + rest.size() || *end != ':')
            return false;
        rest.remove_prefix(static_cast<std::size_t>(end - rest.data()) + 1);
        return true;
    };
    fleet::EvacuationState state;
    if (!takeNumber(state.version) || state.version == 0)
        return malformed;
    while (!rest.empty()) {
        std::uint64_t length = 0;
        if (!takeNumber(length) || length == 0 || length > rest.size())
            return malformed;
        state.dataCentres.emplace(rest.substr(0, length));
        rest.remove_prefix(length);
    }
    return state;
}

}
