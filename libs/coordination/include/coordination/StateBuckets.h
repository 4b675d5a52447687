#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace sequoia::coordination {

//! One group of replicated state, divided into buckets that are compared by their digests and copied one by one.
class StateBuckets {
public:
    //! Replaces all buckets.
    void assign(std::vector<std::string> contents);
    //! Replaces one bucket of a group that has `count` of them.
    void replace(std::uint32_t index, std::uint32_t count, std::string content);

    const std::vector<std::string>& contents() const { return this->buckets; }
    const std::vector<std::uint64_t>& digests() const { return this->bucketDigests; }
    //! Digest of the whole group.
    std::uint64_t digest() const { return this->groupDigest; }

private:
    void updateGroupDigest();

    std::vector<std::string> buckets;
    std::vector<std::uint64_t> bucketDigests;
    std::uint64_t groupDigest = 0;
};

}
