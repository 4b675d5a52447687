#include "ownership/PartitionMachine.h"

#include "HolderTerm.h"
#include "RecordCheck.h"
#include "RoutePublication.h"

#include <algorithm>
#include <cassert>
#include <map>
#include <optional>
#include <utility>

namespace sequoia::ownership {

namespace {

// Re-evaluates without new input, because elapsed time alone can require a change, such as replacing a successor that
// has stopped answering.
constexpr Duration planInterval = std::chrono::milliseconds(200);

//! Copies the server lease into the lease options: a new holder waits for leases of that length.
PartitionOptions withServerLease(PartitionOptions options)
{
    options.lease.serverLease = options.serverLease;
    return options;
}

}

//! Implementation of PartitionMachine. Outputs accumulate in `outputs` until handle() returns them.
class PartitionMachine::State {
public:
    State(PartitionOptions options, RandomEngine& random);

    Outputs handle(const Input& input, TimePoint now);

    PartitionOptions options;
    lease::LeaseMachine lease;
    RoutePublication publication;

private:
    void handleInput(const Tick& input, TimePoint now);
    void handleInput(const RecordRead& input, TimePoint now);
    void handleInput(const RecordWritten& input, TimePoint now);
    void handleInput(const RecordCached& input, TimePoint now);
    void handleInput(const HolderSeen& input, TimePoint now);
    void handleInput(const PromiseAnswered& input, TimePoint now);
    void handleInput(const GrantAnswered& input, TimePoint now);
    void handleInput(const GrantFailed& input, TimePoint now);
    void handleInput(const HostsChanged& input, TimePoint now);
    void handleInput(const MoveRequested& input, TimePoint now);
    void handleInput(const GoneConfirmed& input, TimePoint now);
    void handleInput(const ShutdownRequested& input, TimePoint now);

    void append(lease::LeaseOutputs leaseOutputs);
    void updateHolderTerm(TimePoint now);
    void runHolderStep(bool isTick, TimePoint now);
    bool hasNoPendingChanges() const;
    void plan(TimePoint now);
    void publish(TimePoint now);
    std::uint64_t stateCount() const;

    Outputs outputs;
    std::optional<HolderTerm> holderTerm;
    std::map<std::string, wire::Host> hosts; //!< backend servers of this service, by id
    std::optional<wire::PartitionRecord> proposal; //!< proposed record whose write has no known outcome yet
    // Counts at the last publication and planning. Both are skipped while nothing has changed, because with hundreds of
    // slices they would dominate the cost of each input.
    std::uint64_t publishedCount = 0;
    std::uint64_t plannedCount = 0;
    bool areServersFenced = false;
    TimePoint plannedAt;
    // Slices are not re-evaluated for replies that change nothing while no change is pending.
    std::uint64_t evaluatedCount = 0;
    TimePoint evaluatedAt;
    bool isStable = false;
};

PartitionMachine::State::State(PartitionOptions options, RandomEngine& random)
    : options(withServerLease(std::move(options)))
    , lease(this->options.lease, random)
    , publication(this->options.lease.self)
{
}

Outputs PartitionMachine::State::handle(const Input& input, TimePoint now)
{
    std::visit([&](const auto& message) { this->handleInput(message, now); }, input);
    this->updateHolderTerm(now);
    if (this->holderTerm)
        this->runHolderStep(std::holds_alternative<Tick>(input), now);
    return std::exchange(this->outputs, {});
}

void PartitionMachine::State::append(lease::LeaseOutputs leaseOutputs)
{
    for (lease::LeaseOutput& output : leaseOutputs)
        std::visit([&](auto& message) { this->outputs.emplace_back(std::move(message)); }, output);
}

void PartitionMachine::State::handleInput(const Tick&, TimePoint now)
{
    this->append(this->lease.onTick(now));
}

void PartitionMachine::State::handleInput(const RecordRead& input, TimePoint now)
{
    this->append(this->lease.onRecordRead(input, now));
}

void PartitionMachine::State::handleInput(const RecordWritten& input, TimePoint now)
{
    this->append(this->lease.onRecordWritten(input, now));
}

void PartitionMachine::State::handleInput(const RecordCached& input, TimePoint now)
{
    this->append(this->lease.onRecordCached(input.cached, now));
}

void PartitionMachine::State::handleInput(const HolderSeen&, TimePoint now)
{
    this->lease.onHolderSeen(now);
}

void PartitionMachine::State::handleInput(const PromiseAnswered& input, TimePoint now)
{
    this->append(this->lease.onPromiseAnswered(input, now));
}

void PartitionMachine::State::handleInput(const GrantAnswered& input, TimePoint now)
{
    if (this->holderTerm)
        this->holderTerm->onGrantAnswered(input, now);
}

void PartitionMachine::State::handleInput(const GrantFailed& input, TimePoint)
{
    if (this->holderTerm)
        this->holderTerm->onGrantFailed(input);
}

void PartitionMachine::State::handleInput(const HostsChanged& input, TimePoint now)
{
    std::vector<wire::Process> controllers;
    std::vector<std::string> gone;
    for (const wire::Host& host : input.hosts.hosts()) {
        // Keeps servers that are missing from a later list: the list can lag, and a missing server is not known to be
        // gone.
        bool isOurServer
            = host.kind() == wire::HOST_KIND_BACKEND_SERVER && host.service() == this->options.lease.partition;
        if (isOurServer)
            this->hosts[host.id()] = host;
        if (host.kind() != wire::HOST_KIND_CONTROLLER)
            continue;
        if (host.state() == wire::HOST_STATE_GONE)
            gone.push_back(host.incarnation());
        if (host.state() != wire::HOST_STATE_LIVE)
            continue;
        wire::Process& process = controllers.emplace_back();
        process.set_incarnation(host.incarnation());
        process.set_address(host.address());
        process.set_host(host.id());
        process.set_data_centre(host.data_centre());
    }
    this->lease.setCandidates(std::move(controllers));
    this->lease.setGone(std::move(gone));
    if (this->holderTerm)
        this->holderTerm->setHosts(this->hosts, now);
}

void PartitionMachine::State::handleInput(const MoveRequested& input, TimePoint)
{
    this->isStable = false;
    if (this->holderTerm)
        this->holderTerm->planner.requestMove(input);
}

void PartitionMachine::State::handleInput(const GoneConfirmed& input, TimePoint)
{
    this->isStable = false;
    if (!this->holderTerm)
        return;
    this->holderTerm->events.emit(
        "gone_confirmed", { { "server", input.server }, { "reason", input.reason }, { "author", input.author } });
    this->holderTerm->confirmGone(input.server);
}

void PartitionMachine::State::handleInput(const ShutdownRequested&, TimePoint now)
{
    this->append(this->lease.release(now));
}

//! Starts each term without state of an earlier term, because the servers may have changed since.
void PartitionMachine::State::updateHolderTerm(TimePoint now)
{
    bool isHolder = this->lease.isHolder(now);
    bool isSameTerm = this->holderTerm && this->lease.role() == lease::LeaseRole::Holder
        && this->holderTerm->currentTerm() == this->lease.term()
        && this->holderTerm->since() == this->lease.holderSince();
    if (this->holderTerm && !isSameTerm)
        this->holderTerm.reset();
    if (!isHolder || this->holderTerm)
        return;
    this->isStable = false;
    this->holderTerm.emplace(this->options, this->lease.term(), this->lease.holderSince(), this->outputs);
    this->holderTerm->setHosts(this->hosts, now);
    this->areServersFenced = false;
}

void PartitionMachine::State::runHolderStep(bool isTick, TimePoint now)
{
    if (!this->lease.isHolder(now))
        return;
    if (this->lease.canPropose(now))
        this->proposal.reset();
    this->holderTerm->setRecord(this->lease.record());
    this->holderTerm->expire(now);
    bool isUnchanged = this->isStable && this->stateCount() == this->evaluatedCount;
    bool isDue = !isUnchanged || now - this->evaluatedAt >= planInterval;
    if (isDue)
        this->holderTerm->decide(this->proposal ? &*this->proposal : nullptr, now);
    if (isTick)
        this->plan(now);
    this->publish(now);
    if (isDue) {
        this->evaluatedCount = this->stateCount();
        this->evaluatedAt = now;
        this->isStable = isTick && this->hasNoPendingChanges();
    }
    this->holderTerm->sendDue(this->outputs, now);
}

bool PartitionMachine::State::hasNoPendingChanges() const
{
    const auto& routes = this->publication.current().routes();
    bool isEachActive = !routes.empty() && std::all_of(routes.begin(), routes.end(), [](const wire::Route& route) {
        return route.state() == wire::ROUTE_STATE_ACTIVE;
    });
    const auto& slices = this->lease.record().record.slices();
    bool isMoving = std::any_of(
        slices.begin(), slices.end(), [](const wire::Slice& slice) { return !slice.move_target().empty(); });
    bool isLeaving = std::any_of(this->holderTerm->sessions.begin(), this->holderTerm->sessions.end(),
        [](const auto& entry) { return entry.second.isLeaving(); });
    return isEachActive && !isMoving && !isLeaving && !this->proposal;
}

//! Called only on a tick, so that changes from several replies are combined in one write.
void PartitionMachine::State::plan(TimePoint now)
{
    bool isDue = this->stateCount() != this->plannedCount || now - this->plannedAt >= planInterval;
    if (!isDue || !this->lease.canPropose(now))
        return;
    this->plannedCount = this->stateCount();
    this->plannedAt = now;
    auto changed = this->holderTerm->planner.plan(this->lease.record().record, now);
    if (!changed)
        return;
    assert(findRecordError(*changed).empty());
    this->proposal = *changed;
    this->append(this->lease.propose(std::move(*changed), now));
}

//! Changes whenever anything that routes and plans depend on changes, other than the time.
std::uint64_t PartitionMachine::State::stateCount() const
{
    return this->holderTerm->sessions.changeCount() + this->lease.record().version;
}

void PartitionMachine::State::publish(TimePoint now)
{
    // Until every server is fenced or its lease has expired, a route can also change when a lease of an earlier term
    // expires.
    bool mayDiffer = this->stateCount() != this->publishedCount || !this->areServersFenced;
    if (!mayDiffer)
        return;
    this->areServersFenced = this->holderTerm->sessions.areFencedOrExpired(now);
    this->publishedCount = this->stateCount();
    auto table = this->publication.update(this->lease.record().record, this->holderTerm->currentTerm(),
        this->holderTerm->sessions, this->holderTerm->activation, now);
    if (!table)
        return;
    this->holderTerm->events.emit("routes_published", { { "version", std::to_string(table->version()) } });
    this->outputs.emplace_back(PublishRoutes { std::move(*table) });
}

PartitionMachine::PartitionMachine(PartitionOptions options, RandomEngine& random)
    : state(std::make_unique<State>(std::move(options), random))
{
}

PartitionMachine::~PartitionMachine() = default;

Outputs PartitionMachine::handle(const Input& input, TimePoint now)
{
    return this->state->handle(input, now);
}

bool PartitionMachine::isHolder(TimePoint now) const
{
    return this->state->lease.isHolder(now);
}

wire::PartitionStatus PartitionMachine::status(TimePoint now) const
{
    const wire::PartitionRecord& record = this->record().record;
    const wire::RouteTable& table = this->routes();
    wire::PartitionStatus status;
    status.set_partition(this->state->options.lease.partition);
    bool isCandidate = this->state->lease.role() == lease::LeaseRole::Candidate;
    status.set_role(this->isHolder(now) ? "holder" : isCandidate ? "candidate" : "follower");
    status.set_term(this->state->lease.term());
    *status.mutable_holder() = this->isHolder(now) ? this->state->options.lease.self : record.holder();
    status.set_record_version(this->record().version);
    status.set_route_version(table.version());
    status.set_slices(static_cast<std::uint32_t>(record.slices_size()));
    for (const wire::Route& route : table.routes()) {
        if (route.state() == wire::ROUTE_STATE_UNAVAILABLE)
            status.set_unavailable_slices(status.unavailable_slices() + 1);
    }
    *status.mutable_witnesses() = record.witnesses();
    return status;
}

const lease::VersionedRecord& PartitionMachine::record() const
{
    return this->state->lease.record();
}

const wire::RouteTable& PartitionMachine::routes() const
{
    return this->state->publication.current();
}

}
