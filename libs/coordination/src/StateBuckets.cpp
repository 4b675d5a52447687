#include "coordination/StateBuckets.h"

#include <cassert>
#include <xxhash.h>

namespace sequoia::coordination {

namespace {

std::uint64_t digestOf(const std::string& bytes)
{
    return XXH3_64bits(bytes.data(), bytes.size());
}

}

std::vector<std::uint32_t> StateBuckets::assign(std::vector<std::string> contents)
{
    std::vector<std::uint32_t> changed;
    for (std::size_t i = 0; i < contents.size(); ++i) {
        if (i >= this->buckets.size() || this->buckets[i] != contents[i])
            changed.push_back(static_cast<std::uint32_t>(i));
    }
    this->buckets = std::move(contents);
    // All digests are computed anew, since a bucket that was never received is empty and has the digest zero.
    this->bucketDigests.clear();
    for (const auto& bucket : this->buckets)
        this->bucketDigests.push_back(digestOf(bucket));
    this->updateGroupDigest();
    return changed;
}

void StateBuckets::replace(std::uint32_t index, std::uint32_t count, std::string content)
{
    assert(index < count);
    if (this->buckets.size() != count) {
        this->buckets.resize(count);
        this->bucketDigests.resize(count);
    }
    this->buckets[index] = std::move(content);
    this->bucketDigests[index] = digestOf(this->buckets[index]);
    this->updateGroupDigest();
}

void StateBuckets::updateGroupDigest()
{
    this->groupDigest
        = XXH3_64bits(this->bucketDigests.data(), this->bucketDigests.size() * sizeof this->bucketDigests[0]);
}

}
