#pragma once

#include "coordination/StateBuckets.h"

#include <map>
#include <optional>
#include <peer.pb.h>
#include <set>
#include <string>
#include <vector>

namespace sequoia::coordination {

//! A host's copy of the coordinator's state. Knows by digests which buckets it lacks, also those of a new coordinator
//! or of a list that the host has read itself.
class StateReplica {
public:
    //! Applies the digests and buckets of a datagram of the coordinator. Returns the groups whose content changed.
    std::set<std::string> apply(const wire::Datagram& datagram);
    //! Replaces a group by what the host has read itself.
    void assign(const std::string& group, std::vector<std::string> buckets);
    //! Whether the group has the digest that the coordinator announced last.
    bool isCurrent(const std::string& group) const;
    //! Returns whether the group has become current with another content than at the last such call that returned true.
    bool takeChange(const std::string& group);
    //! Content of a group; empty if there is none.
    const std::vector<std::string>& contents(const std::string& group) const;
    //! Asks for the buckets of all groups that differ; for owners of keys, which change often and are needed only
    //! without a coordinator, with some of the calls.
    void fillRequests(wire::Report& report);

private:
    struct Group {
        StateBuckets buckets;
        std::vector<std::uint64_t> sequences; //!< of the datagram that brought each bucket
        std::uint64_t announcedDigest = 0;
        bool announced = false;
        std::optional<std::uint64_t> takenDigest;
    };

    void applyBucket(const wire::StateBucket& bucket, std::uint64_t sequence, std::set<std::string>& changed);

    std::map<std::string, Group, std::less<>> groups;
    std::uint64_t term = 0;
    std::uint64_t lastDigestSequence = 0;
    unsigned requestRound = 0;
};

}
