#pragma once

#include "balance/Scheduler.h"

#include <map>
#include <string>
#include <vector>

namespace sequoia::balance {

inline constexpr Duration serviceTime = std::chrono::milliseconds(150);

//! Returns the owners that the test sets.
class FakeOwners final : public OwnerLookup {
public:
    Owner ownerOf(std::string_view, fleet::Key key) const override
    {
        ++this->lookups;
        auto found = this->owners.find(key);
        return found == this->owners.end() ? this->defaultOwner : found->second;
    }
    std::uint64_t ownerVersion() const override { return this->version; }

    std::map<fleet::Key, Owner> owners;
    Owner defaultOwner { Ownership::Unowned, {} };
    std::uint64_t version = 1;
    mutable std::size_t lookups = 0;
};

//! A scheduler with servers s0, s1, ... of two slots each, and a simulated clock.
class TestScheduler {
public:
    explicit TestScheduler(int servers, SchedulerOptions options = {})
        : scheduler(options, this->owners)
    {
        for (int i = 0; i < servers; ++i) {
            fleet::ServerEntry entry;
            entry.instance = { "s" + std::to_string(i), 1 };
            entry.service = "service";
            entry.address = "127.0.0.1:1";
            entry.slots = 2;
            this->serverMap[entry.instance.id] = entry;
        }
        this->scheduler.setServers(this->serverMap, this->now);
    }

    Job job(Duration target = std::chrono::milliseconds(600), Duration deadline = std::chrono::milliseconds(2500))
    {
        Job created;
        created.id = { 1, ++this->lastJob };
        created.service = "service";
        created.target = this->now + target;
        created.deadline = this->now + deadline;
        return created;
    }

    std::vector<SchedulingDecision> submit(const Job& job) { return this->scheduler.submit(job, this->now); }
    std::vector<SchedulingDecision> endJob(
        JobId job, JobResult result = JobResult::Answered, Duration elapsed = serviceTime)
    {
        return this->scheduler.jobEnded(job, result, elapsed, this->now);
    }

    FakeOwners owners;
    Scheduler scheduler;
    fleet::ServerMap serverMap;
    TimePoint now { std::chrono::seconds(1000) };
    std::uint64_t lastJob = 0;
};

inline std::string serverOf(const std::vector<SchedulingDecision>& decisions)
{
    if (decisions.size() != 1)
        return "(" + std::to_string(decisions.size()) + " decisions)";
    const auto* placed = std::get_if<JobPlacement>(&decisions[0]);
    return placed ? placed->server : "refused";
}

}
