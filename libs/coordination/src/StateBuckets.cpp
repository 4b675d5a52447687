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

void StateBuckets::assign(std::vector<std::string> contents)
{
    this->buckets = std::move(contents);
    this->bucketDigests.clear();
    for (const auto& bucket : this->buckets)
        this->bucketDigests.push_back(digestOf(bucket));
    this->updateGroupDigest();
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
