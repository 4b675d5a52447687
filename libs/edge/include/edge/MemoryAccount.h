#pragma once

#include "core/Clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace sequoia::edge {

//! What memory of a connection is used for.
enum class MemoryUse {
    Head, //!< received bytes that are not parsed yet, and parsed heads
    RequestBody,
    Response, //!< bytes of a backend server's response that are not forwarded yet
    Unsent, //!< bytes written towards the caller or the backend server that the kernel has not taken
};

constexpr std::size_t memoryUseCount = 4;

//! Memory that one connection of a caller holds.
struct HeldMemory {
    std::array<std::size_t, memoryUseCount> bytes {};
    //! Changes whenever the caller sends part of a body or takes part of a response.
    std::uint64_t progress = 0;
    bool waitsForCaller = false; //!< The next step is the caller's: more of its request, or reading its response.

    std::size_t& of(MemoryUse use) { return this->bytes[static_cast<std::size_t>(use)]; }
    std::size_t total() const;
};

enum class MemoryPressure {
    None,
    HoldBack, //!< above the first mark: connections that grow are not read from
    RefuseBodies, //!< above the second mark: requests with a new body are refused
    RefuseRequests, //!< above the ceiling: all new requests are refused
};

//! Account of the memory held for callers, by connection. Addresses many bodies and heads at once that stop before
//! their end, so that each connection is within its own limits and their sum is not.
class MemoryAccount {
public:
    using Owner = std::uint64_t;

    //! 0 is no ceiling.
    void setCeiling(std::size_t bytes) { this->ceilingBytes = bytes; }
    std::size_t ceiling() const { return this->ceilingBytes; }

    //! Replaces what the connection holds.
    void update(Owner owner, const HeldMemory& held, TimePoint now);
    void remove(Owner owner);

    MemoryPressure pressure() const;
    //! Whether the connection holds enough that it is not read from under the present pressure.
    bool shouldHoldBack(Owner owner) const;
    //! Bytes below the first mark.
    std::size_t room() const;
    std::size_t held(Owner owner) const;
    //! Connections to end, so that the rest can go on: those without progress for the longest time first, and of
    //! these the largest, until the others are below the first mark.
    std::vector<Owner> stalledOwners(TimePoint now) const;

    std::size_t total() const { return this->totalBytes; }
    std::size_t total(MemoryUse use) const { return this->usedBytes[static_cast<std::size_t>(use)]; }

private:
    struct Entry {
        HeldMemory held;
        TimePoint lastProgress;
    };

    void add(const HeldMemory& held);
    void subtract(const HeldMemory& held);
    std::size_t firstMark() const;
    std::size_t secondMark() const;

    std::size_t ceilingBytes = 0;
    std::size_t totalBytes = 0;
    std::array<std::size_t, memoryUseCount> usedBytes {};
    std::unordered_map<Owner, Entry> entries;
};

}
