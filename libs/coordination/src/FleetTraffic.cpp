#include "coordination/FleetTraffic.h"

#include "coordination/StateEncoding.h"
#include "core/EnumTable.h"

#include <algorithm>
#include <numeric>

namespace sequoia::coordination {

namespace {

constexpr EnumTable<TrafficPurpose, trafficPurposeCount> purposeNames { {
    { TrafficPurpose::Submission, "submission" },
    { TrafficPurpose::Acknowledgement, "acknowledgement" },
    { TrafficPurpose::Placement, "placement" },
    { TrafficPurpose::Refusal, "refusal" },
    { TrafficPurpose::End, "end" },
    { TrafficPurpose::Notice, "notice" },
    { TrafficPurpose::Report, "report" },
    { TrafficPurpose::StateRequest, "state_request" },
    { TrafficPurpose::Beacon, "beacon" },
    { TrafficPurpose::Servers, "servers" },
    { TrafficPurpose::ServerChanges, "server_changes" },
    { TrafficPurpose::Owners, "owners" },
    { TrafficPurpose::Configuration, "configuration" },
    { TrafficPurpose::Evacuations, "evacuations" },
    { TrafficPurpose::Other, "other" },
} };

constexpr EnumTable<TrafficScope, trafficScopeCount> scopeNames { {
    { TrafficScope::SameDataCentre, "same" },
    { TrafficScope::OtherDataCentre, "other" },
    { TrafficScope::Unknown, "unknown" },
} };

// IPv4 and UDP headers of a datagram.
constexpr std::size_t packetHeaderBytes = 28;

using PartSizes = std::array<std::size_t, trafficPurposeCount>;

std::size_t& sizeOf(PartSizes& sizes, TrafficPurpose purpose)
{
    return sizes[static_cast<std::size_t>(purpose)];
}

template <typename Messages> std::size_t totalSize(const Messages& messages)
{
    return std::accumulate(messages.begin(), messages.end(), std::size_t { 0 },
        [](std::size_t sum, const auto& message) { return sum + message.ByteSizeLong(); });
}

TrafficPurpose purposeOfGroup(const std::string& group)
{
    if (group == serverGroup)
        return TrafficPurpose::Servers;
    if (group == configurationGroup)
        return TrafficPurpose::Configuration;
    if (group == evacuationGroup)
        return TrafficPurpose::Evacuations;
    return serviceOfOwnerGroup(group).empty() ? TrafficPurpose::Other : TrafficPurpose::Owners;
}

PartSizes partSizes(const wire::Datagram& datagram)
{
    PartSizes sizes {};
    sizeOf(sizes, TrafficPurpose::Submission) = totalSize(datagram.submits()) + totalSize(datagram.withdrawals());
    sizeOf(sizes, TrafficPurpose::Acknowledgement) = totalSize(datagram.queued());
    sizeOf(sizes, TrafficPurpose::Placement) = totalSize(datagram.placements());
    sizeOf(sizes, TrafficPurpose::Refusal) = totalSize(datagram.refusals());
    sizeOf(sizes, TrafficPurpose::End) = totalSize(datagram.ends());
    sizeOf(sizes, TrafficPurpose::Notice) = totalSize(datagram.notices());
    if (datagram.has_report()) {
        auto requests = totalSize(datagram.report().state_requests());
        sizeOf(sizes, TrafficPurpose::StateRequest) = requests;
        sizeOf(sizes, TrafficPurpose::Report) = datagram.report().ByteSizeLong() - requests;
    }
    if (datagram.has_beacon())
        sizeOf(sizes, TrafficPurpose::Beacon) = datagram.beacon().ByteSizeLong();
    if (datagram.has_server_changes())
        sizeOf(sizes, TrafficPurpose::ServerChanges) = datagram.server_changes().ByteSizeLong();
    for (const auto& bucket : datagram.buckets())
        sizeOf(sizes, purposeOfGroup(bucket.group())) += bucket.ByteSizeLong();
    return sizes;
}

}

TrafficScope trafficScope(const std::string& senderDataCentre, const std::string& receiverDataCentre)
{
    if (receiverDataCentre.empty())
        return TrafficScope::Unknown;
    return senderDataCentre == receiverDataCentre ? TrafficScope::SameDataCentre : TrafficScope::OtherDataCentre;
}

void FleetTraffic::add(const wire::Datagram& datagram, TrafficScope scope)
{
    auto sizes = partSizes(datagram);
    auto scopeIndex = static_cast<std::size_t>(scope);
    auto largest = static_cast<std::size_t>(std::max_element(sizes.begin(), sizes.end()) - sizes.begin());
    if (sizes[largest] == 0)
        largest = static_cast<std::size_t>(TrafficPurpose::Other);
    auto parts = std::accumulate(sizes.begin(), sizes.end(), std::size_t { 0 });
    sizes[largest] += datagram.ByteSizeLong() - parts + packetHeaderBytes;
    for (std::size_t i = 0; i < sizes.size(); ++i)
        this->counts[i][scopeIndex].bytes += sizes[i];
    ++this->counts[largest][scopeIndex].datagrams;
}

const FleetTraffic::Count& FleetTraffic::count(TrafficPurpose purpose, TrafficScope scope) const
{
    return this->counts[static_cast<std::size_t>(purpose)][static_cast<std::size_t>(scope)];
}

FleetTraffic::Count FleetTraffic::total() const
{
    Count sum;
    for (const auto& scopes : this->counts) {
        for (const auto& count : scopes) {
            sum.bytes += count.bytes;
            sum.datagrams += count.datagrams;
        }
    }
    return sum;
}

std::string FleetTraffic::toText() const
{
    std::string bytes = "# HELP sequoia_fleet_bytes_total Bytes sent to other hosts, with IP and UDP headers.\n"
                        "# TYPE sequoia_fleet_bytes_total counter\n";
    std::string datagrams = "# HELP sequoia_fleet_datagrams_total Datagrams sent to other hosts, by their main "
                            "purpose.\n# TYPE sequoia_fleet_datagrams_total counter\n";
    for (const auto& [purpose, purposeName] : purposeNames) {
        for (const auto& [scope, scopeName] : scopeNames) {
            const auto& entry = this->count(purpose, scope);
            auto labels
                = "{purpose=\"" + std::string(purposeName) + "\",data_centre=\"" + std::string(scopeName) + "\"} ";
            bytes += "sequoia_fleet_bytes_total" + labels + std::to_string(entry.bytes) + "\n";
            datagrams += "sequoia_fleet_datagrams_total" + labels + std::to_string(entry.datagrams) + "\n";
        }
    }
    return bytes + datagrams;
}

std::vector<std::pair<std::string, std::string>> FleetTraffic::toFields() const
{
    std::vector<std::pair<std::string, std::string>> fields;
    for (const auto& [purpose, purposeName] : purposeNames) {
        std::string bytes;
        std::string datagrams;
        std::uint64_t sum = 0;
        for (const auto& [scope, scopeName] : scopeNames) {
            const auto& entry = this->count(purpose, scope);
            sum += entry.bytes;
            bytes += (bytes.empty() ? "" : "/") + std::to_string(entry.bytes);
            datagrams += (datagrams.empty() ? "" : "/") + std::to_string(entry.datagrams);
        }
        if (sum == 0)
            continue;
        fields.emplace_back(std::string(purposeName) + "_bytes", bytes);
        fields.emplace_back(std::string(purposeName) + "_datagrams", datagrams);
    }
    return fields;
}

}
