#include "operatorcli/Selection.h"

#include "operatorcli/Views.h"

#include <algorithm>
#include <charconv>

namespace sequoia::operatorcli {

namespace {

std::optional<std::string> fieldOf(const wire::Event& event, std::string_view key)
{
    for (const auto& field : event.fields()) {
        if (field.key() == key)
            return field.value();
    }
    return std::nullopt;
}

//! Parses all of the text as hexadecimal digits.
std::optional<KeyHash> parseHash(std::string_view digits)
{
    constexpr int hexadecimal = 16;
    KeyHash hash = 0;
    auto [end, status] = std::from_chars(digits.data(), digits.data() + digits.size(), hash, hexadecimal);
    if (status != std::errc() || end != digits.data() + digits.size())
        return std::nullopt;
    return hash;
}

template <typename Ranges> auto findRange(const Ranges& ranges, KeyHash hash)
{
    return std::find_if(ranges.begin(), ranges.end(),
        [hash](const auto& range) { return range.first() <= hash && hash <= range.last(); });
}

}

std::optional<wire::Process> findHolder(const std::vector<wire::StatusReply>& statuses, const std::string& partition)
{
    std::optional<wire::Process> holder;
    std::uint64_t term = 0;
    for (const auto& status : statuses) {
        for (const auto& candidate : status.partitions()) {
            if (candidate.partition() != partition || candidate.role() != "holder"
                || (holder && candidate.term() < term))
                continue;
            holder = status.process();
            term = candidate.term();
        }
    }
    return holder;
}

std::optional<wire::Slice> findSlice(const wire::PartitionRecord& record, KeyHash hash)
{
    auto found = findRange(record.slices(), hash);
    return found == record.slices().end() ? std::nullopt : std::optional<wire::Slice>(*found);
}

std::optional<wire::Route> findRoute(const wire::RouteTable& table, KeyHash hash)
{
    auto found = findRange(table.routes(), hash);
    return found == table.routes().end() ? std::nullopt : std::optional<wire::Route>(*found);
}

bool concernsHash(const wire::Event& event, const std::string& partition, KeyHash hash)
{
    if (fieldOf(event, "partition") != partition)
        return false;
    // Events name a slice as FIRST-LAST in hexadecimal digits.
    std::string slice = fieldOf(event, "slice").value_or("");
    auto dash = slice.find('-');
    if (dash == std::string::npos)
        return false;
    auto first = parseHash(std::string_view(slice).substr(0, dash));
    auto last = parseHash(std::string_view(slice).substr(dash + 1));
    return first && last && *first <= hash && hash <= *last;
}

std::vector<wire::Event> eventsAbout(
    const std::vector<wire::Event>& merged, const std::string& partition, KeyHash hash, std::size_t limit)
{
    std::vector<wire::Event> found;
    for (const auto& event : merged) {
        if (concernsHash(event, partition, hash))
            found.push_back(event);
    }
    if (found.size() > limit)
        found.erase(found.begin(), found.end() - static_cast<std::ptrdiff_t>(limit));
    return found;
}

std::optional<WallMillis> assignedAt(
    const std::vector<wire::Event>& merged, const std::string& partition, const wire::Slice& slice)
{
    auto epoch = std::to_string(slice.epoch().term()) + "." + std::to_string(slice.epoch().sequence());
    for (const auto& event : merged) {
        // The plan of a move names the epoch before the slice is assigned.
        bool planned = event.kind() == "move_planned";
        if (!planned && fieldOf(event, "epoch") == epoch && concernsHash(event, partition, slice.first()))
            return event.time().wall_ms();
    }
    return std::nullopt;
}

std::vector<wire::Event> filterEvents(
    const std::vector<wire::Event>& merged, WallMillis oldest, const std::string& grep)
{
    std::vector<wire::Event> found;
    for (const auto& event : merged) {
        if (event.time().wall_ms() >= oldest && lineOf(event).find(grep) != std::string::npos)
            found.push_back(event);
    }
    return found;
}

}
