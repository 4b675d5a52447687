#pragma once

#include "coordination/StateBuckets.h"

#include <map>
#include <peer.pb.h>
#include <set>
#include <string>
#include <vector>

namespace sequoia::coordination {

//! The coordinator's side of state replication. Changed buckets go to all hosts at once; a host that lacks others sees
//! it by the digests and asks for them. So every message is small, may be lost, and is useful by itself.
class StatePublisher {
public:
    void publish(const std::string& group, std::vector<std::string> buckets);
    void fillDigests(wire::Beacon& beacon) const;
    //! Returns the buckets that changed since the last call, or none if they are too many to send to all hosts.
    std::vector<wire::StateBucket> takeChanges();
    //! Returns the buckets that a host lacks.
    std::vector<wire::StateBucket> differences(const wire::StateRequest& request) const;

private:
    wire::StateBucket makeBucket(const std::string& group, std::uint32_t index) const;

    std::map<std::string, StateBuckets, std::less<>> groups;
    std::set<std::pair<std::string, std::uint32_t>> changed;
};

//! Distributes buckets among datagrams that fit one network packet where possible.
std::vector<wire::Datagram> splitBuckets(const std::vector<wire::StateBucket>& buckets);

}
