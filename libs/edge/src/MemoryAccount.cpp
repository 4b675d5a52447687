#include "edge/MemoryAccount.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace sequoia::edge {

namespace {

// Connections that hold less are read from under any pressure: the heads of ordinary requests fit.
constexpr std::size_t freeBytes = std::size_t { 16 } * 1024;
// A connection without progress for less than this is not ended under pressure. Callers' links that are reduced 36-fold
// still carry some bytes in this time.
constexpr Duration stallLimit = std::chrono::seconds(1);

}

std::size_t HeldMemory::total() const
{
    return std::accumulate(this->bytes.begin(), this->bytes.end(), std::size_t { 0 });
}

std::size_t MemoryAccount::firstMark() const
{
    return this->ceilingBytes / 10 * 6;
}

std::size_t MemoryAccount::secondMark() const
{
    return this->ceilingBytes / 10 * 8;
}

void MemoryAccount::add(const HeldMemory& held)
{
    for (std::size_t i = 0; i < memoryUseCount; ++i)
        this->usedBytes[i] += held.bytes[i];
    this->totalBytes += held.total();
}

void MemoryAccount::subtract(const HeldMemory& held)
{
    for (std::size_t i = 0; i < memoryUseCount; ++i)
        this->usedBytes[i] -= held.bytes[i];
    this->totalBytes -= held.total();
}

void MemoryAccount::update(Owner owner, const HeldMemory& held, TimePoint now)
{
    auto [found, isNew] = this->entries.try_emplace(owner, Entry { held, now });
    auto& entry = found->second;
    if (!isNew) {
        this->subtract(entry.held);
        // While the next step is not the caller's, nothing can be held against it.
        if (held.progress != entry.held.progress || !entry.held.waitsForCaller)
            entry.lastProgress = now;
        entry.held = held;
    }
    this->add(held);
}

void MemoryAccount::remove(Owner owner)
{
    auto found = this->entries.find(owner);
    if (found == this->entries.end())
        return;
    this->subtract(found->second.held);
    this->entries.erase(found);
}

MemoryPressure MemoryAccount::pressure() const
{
    if (this->ceilingBytes == 0 || this->totalBytes <= this->firstMark())
        return MemoryPressure::None;
    if (this->totalBytes <= this->secondMark())
        return MemoryPressure::HoldBack;
    return this->totalBytes <= this->ceilingBytes ? MemoryPressure::RefuseBodies : MemoryPressure::RefuseRequests;
}

bool MemoryAccount::shouldHoldBack(Owner owner) const
{
    if (this->pressure() == MemoryPressure::None)
        return false;
    return this->held(owner) > freeBytes;
}

std::size_t MemoryAccount::room() const
{
    if (this->ceilingBytes == 0)
        return std::numeric_limits<std::size_t>::max();
    return this->firstMark() - std::min(this->firstMark(), this->totalBytes);
}

std::size_t MemoryAccount::held(Owner owner) const
{
    auto found = this->entries.find(owner);
    return found == this->entries.end() ? 0 : found->second.held.total();
}

std::vector<MemoryAccount::Owner> MemoryAccount::stalledOwners(TimePoint now) const
{
    std::vector<Owner> ended;
    if (this->pressure() == MemoryPressure::None)
        return ended;
    std::vector<std::pair<Owner, const Entry*>> stalled;
    for (const auto& [owner, entry] : this->entries) {
        if (entry.held.waitsForCaller && entry.held.total() > 0 && now - entry.lastProgress >= stallLimit)
            stalled.emplace_back(owner, &entry);
    }
    std::sort(stalled.begin(), stalled.end(), [](const auto& left, const auto& right) {
        if (left.second->lastProgress != right.second->lastProgress)
            return left.second->lastProgress < right.second->lastProgress;
        return left.second->held.total() > right.second->held.total();
    });
    auto rest = this->totalBytes;
    for (const auto& [owner, entry] : stalled) {
        if (rest <= this->firstMark())
            break;
        rest -= entry->held.total();
        ended.push_back(owner);
    }
    return ended;
}

}
