#pragma once

#include "core/KeyHash.h"

#include <backend.pb.h>
#include <compare>
#include <record.pb.h>
#include <string>
#include <tuple>

namespace sequoia::ownership {

//! An inclusive range of hashes.
struct HashRange {
    KeyHash first = 0;
    KeyHash last = 0;

    bool overlaps(const HashRange& other) const { return this->first <= other.last && other.first <= this->last; }
    bool contains(KeyHash hash) const { return this->first <= hash && hash <= this->last; }
    bool operator==(const HashRange& other) const { return this->first == other.first && this->last == other.last; }
};

//! Comparable form of wire::Epoch.
struct EpochValue {
    std::uint64_t term = 0;
    std::uint64_t sequence = 0;

    EpochValue() = default;
    EpochValue(std::uint64_t term, std::uint64_t sequence)
        : term(term)
        , sequence(sequence)
    {
    }
    explicit EpochValue(const wire::Epoch& epoch)
        : term(epoch.term())
        , sequence(epoch.sequence())
    {
    }

    bool operator==(const EpochValue& other) const
    {
        return this->term == other.term && this->sequence == other.sequence;
    }
    bool operator<(const EpochValue& other) const
    {
        return std::tie(this->term, this->sequence) < std::tie(other.term, other.sequence);
    }

    wire::Epoch toWire() const
    {
        wire::Epoch epoch;
        epoch.set_term(this->term);
        epoch.set_sequence(this->sequence);
        return epoch;
    }
    std::string toString() const { return std::to_string(this->term) + "." + std::to_string(this->sequence); }
};

//! A slice under one epoch, as granted to a server.
struct Assignment {
    HashRange range;
    EpochValue epoch;

    bool operator==(const Assignment& other) const { return this->range == other.range && this->epoch == other.epoch; }
};

inline HashRange rangeOf(const wire::Slice& slice)
{
    return { slice.first(), slice.last() };
}

//! First and last hash in hexadecimal, as written in events.
std::string describe(const HashRange& range);

}
