#pragma once

#include "coordination/StateBuckets.h"

#include <map>
#include <peer.pb.h>
#include <string>
#include <vector>

namespace sequoia::coordination {

//! The coordinator's side of state replication. A host sees by the digests that it lacks buckets, and asks for them. So
//! every message is small, may be lost, and is useful by itself.
class StatePublisher {
public:
    void publish(const std::string& group, std::vector<std::string> buckets);
    //! Hosts remember the digests of owners that are left out.
    void fillDigests(wire::Beacon& beacon, bool withOwners = true) const;
    //! Returns the buckets that a host lacks.
    std::vector<wire::StateBucket> differences(const wire::StateRequest& request) const;

private:
    wire::StateBucket makeBucket(const std::string& group, std::uint32_t index) const;

    std::map<std::string, StateBuckets, std::less<>> groups;
};

//! Distributes buckets among datagrams that fit one network packet where possible.
std::vector<wire::Datagram> splitBuckets(const std::vector<wire::StateBucket>& buckets);

}
