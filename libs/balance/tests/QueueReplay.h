#pragma once

#include "balance/Scheduler.h"

#include "core/Random.h"

#include <algorithm>
#include <deque>
#include <doctest/doctest.h>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace sequoia::balance {

//! Requests of one route: rate per second, and during the burst.
struct ReplayKind {
    std::uint32_t priority;
    int workMs, targetMs, deadlineMs;
    double rate, burstRate;
};

struct ReplayLoad {
    const char* name;
    bool keyed;
    int servers;
    double slowShare; //!< part of the servers that takes three times as long
    double hotKeyShare; //!< part of the requests in the burst for one key
    std::vector<ReplayKind> kinds;
    double minOnTimeRatio; //!< answers on time, relative to the order without planQueue()
};

struct ReplayCount {
    int offered = 0, onTime = 0, late = 0, refused = 0;
    //! Answered after the deadline.
    int unanswered() const { return this->offered - this->onTime - this->late - this->refused; }
    double served() const { return double(this->onTime + this->late) / std::max(1, this->offered); }
};

//! Replays scripted arrivals on simulated servers, and counts what the callers of each kind get. A burst lasts from the
//! second to the eighth second of twelve. Checks on every step that a job is refused or placed once, and that servers
//! get no more jobs than their slots (and one more, which saves a round trip, for keyed services).
class QueueReplay final : public OwnerLookup {
public:
    QueueReplay(const ReplayLoad& replayed, const std::set<std::string, std::less<>>& costAware)
        : load(replayed)
        , scheduler({}, *this)
        , counts(replayed.kinds.size())
    {
        fleet::ServerMap entries;
        for (int i = 0; i < this->load.servers; ++i) {
            fleet::ServerEntry entry;
            entry.instance = { "s" + std::to_string(i), 1 };
            entry.service = "service";
            entry.slots = slots;
            entries[entry.instance.id] = entry;
        }
        this->scheduler.setServers(entries, this->now);
        this->scheduler.setCostAwareServices(costAware);
    }

    std::vector<ReplayCount> run()
    {
        for (int ms = 0; ms < 22000; ++ms, this->now += std::chrono::milliseconds(1)) {
            for (std::size_t kind = 0; ms < 12000 && kind < this->load.kinds.size(); ++kind)
                this->arrive(kind, ms >= 2000 && ms < 8000);
            for (auto& [name, jobs] : this->running)
                this->finish(name, jobs);
            if (ms % 10 == 0)
                this->apply(this->scheduler.tick(this->now));
        }
        CHECK(this->open.empty());
        CHECK(this->mostJobs <= slots + (this->load.keyed ? 1 : 0));
        return this->counts;
    }

    Owner ownerOf(std::string_view, fleet::Key key) const override
    {
        return { Ownership::Owned, "s" + std::to_string(int(key) % this->load.servers) };
    }
    std::uint64_t ownerVersion() const override { return 1; }

    std::string decisions; //!< log of all decisions
    int refusedWhileIdle = 0; //!< refusals while no job ran on the server, or on any server of a service without keys

private:
    static constexpr unsigned slots = 6;
    struct Running {
        JobId id;
        Duration work;
        TimePoint placed, end {};
    };
    struct Open {
        std::size_t kind;
        Job job;
        Duration work;
        bool placed = false;
    };

    void arrive(std::size_t index, bool burst)
    {
        const auto& kind = this->load.kinds[index];
        std::poisson_distribution<int> arrivals((burst ? kind.burstRate : kind.rate) / 1000);
        for (int count = arrivals(this->random); count > 0; --count) {
            Job job;
            job.id = { 1, ++this->lastJob };
            job.service = "service";
            job.priority = kind.priority;
            job.workClass = std::uint32_t(index + 1);
            job.target = this->now + std::chrono::milliseconds(kind.targetMs);
            job.deadline = this->now + std::chrono::milliseconds(kind.deadlineMs);
            bool hot = burst && double(this->random() % 1000) < this->load.hotKeyShare * 1000;
            if (this->load.keyed)
                job.key = fleet::Key(hot ? 0 : this->random() % 1000);
            ++this->counts[index].offered;
            std::uniform_real_distribution<double> spread(0.8, 1.2);
            auto work = Duration(std::int64_t(kind.workMs * 1000 * spread(this->random)));
            this->open[job.id.number] = { index, job, work };
            this->apply(this->scheduler.submit(job, this->now));
        }
    }

    void finish(const std::string& name, std::deque<Running>& jobs)
    {
        bool slow = std::stoi(name.substr(1)) < this->load.slowShare * this->load.servers;
        for (std::size_t i = 0; i < jobs.size() && i < slots; ++i) {
            if (jobs[i].end == TimePoint())
                jobs[i].end = this->now + jobs[i].work * (slow ? 3 : 1);
        }
        for (std::size_t i = 0; i < jobs.size() && i < slots;) {
            if (jobs[i].end == TimePoint() || jobs[i].end > this->now) {
                ++i;
                continue;
            }
            auto ended = jobs[i];
            jobs.erase(jobs.begin() + std::ptrdiff_t(i));
            auto& entry = this->open.at(ended.id.number);
            auto& count = this->counts[entry.kind];
            if (this->now <= entry.job.target)
                ++count.onTime;
            else if (this->now <= entry.job.deadline)
                ++count.late;
            this->open.erase(ended.id.number);
            this->apply(this->scheduler.jobEnded(ended.id, JobResult::Answered, this->now - ended.placed, this->now));
        }
    }

    void apply(const std::vector<SchedulingDecision>& made)
    {
        for (const auto& decision : made) {
            if (const auto* placement = std::get_if<JobPlacement>(&decision)) {
                auto& entry = this->open.at(placement->job.number);
                CHECK(!entry.placed);
                entry.placed = true;
                auto& jobs = this->running[placement->server];
                jobs.push_back({ placement->job, entry.work, this->now });
                this->mostJobs = std::max(this->mostJobs, jobs.size());
                this->decisions += std::to_string(placement->job.number) + placement->server + ' ';
                continue;
            }
            const auto& refusal = std::get<JobRefusal>(decision);
            auto entry = this->open.find(refusal.job.number);
            REQUIRE(entry != this->open.end());
            CHECK(!entry->second.placed);
            const auto& key = entry->second.job.key;
            bool idle = key ? this->running[this->ownerOf({}, *key).server].empty()
                            : std::all_of(this->running.begin(), this->running.end(),
                                [](const auto& server) { return server.second.empty(); });
            this->refusedWhileIdle += idle ? 1 : 0;
            ++this->counts[entry->second.kind].refused;
            this->open.erase(entry);
            this->decisions
                += std::to_string(refusal.job.number) + '!' + std::to_string(refusal.retryAfter.count()) + ' ';
        }
    }

    const ReplayLoad& load;
    Scheduler scheduler;
    TimePoint now { std::chrono::seconds(1000) };
    RandomEngine random { 20261206 };
    std::uint64_t lastJob = 0;
    std::size_t mostJobs = 0; //!< at one server
    std::vector<ReplayCount> counts;
    std::map<std::uint64_t, Open> open;
    std::map<std::string, std::deque<Running>> running;
};

}
