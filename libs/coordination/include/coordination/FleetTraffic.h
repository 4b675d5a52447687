#pragma once

#include <array>
#include <cstdint>
#include <peer.pb.h>
#include <string>
#include <utility>
#include <vector>

namespace sequoia::coordination {

//! What the bytes of a datagram between hosts are for.
enum class TrafficPurpose {
    Submission, //!< with withdrawals
    Acknowledgement, //!< The job waits at the coordinator.
    Placement,
    Refusal,
    End,
    Notice,
    Report,
    StateRequest, //!< part of a report
    Beacon,
    Servers,
    ServerChanges,
    Owners,
    Configuration,
    Evacuations,
    Other,
};
inline constexpr std::size_t trafficPurposeCount = 15;

//! Where the receiver is, as far as the sender knows.
enum class TrafficScope {
    SameDataCentre,
    OtherDataCentre,
    Unknown,
};
inline constexpr std::size_t trafficScopeCount = 3;

TrafficScope trafficScope(const std::string& senderDataCentre, const std::string& receiverDataCentre);

//! Counts the datagrams that a host sends to other hosts, by purpose and scope.
class FleetTraffic {
public:
    struct Count {
        std::uint64_t bytes = 0;
        std::uint64_t datagrams = 0;
    };

    //! Adds a datagram. Its headers, and the datagram itself, are counted for the purpose that takes most of its bytes.
    void add(const wire::Datagram& datagram, TrafficScope scope);
    const Count& count(TrafficPurpose purpose, TrafficScope scope) const;
    Count total() const;
    //! All counters in the Prometheus text format.
    std::string toText() const;
    //! Bytes and datagrams of each purpose in use, each as "same/other/unknown", for a log line.
    std::vector<std::pair<std::string, std::string>> toFields() const;

private:
    std::array<std::array<Count, trafficScopeCount>, trafficPurposeCount> counts {};
};

}
