#include "LeaseManagerSimulation.h"

#include <algorithm>

namespace sequoia::keyspace::testing {

namespace {

constexpr Duration step = std::chrono::milliseconds(10);
constexpr int serverCount = 5;
constexpr Duration maxListLag = std::chrono::milliseconds(2500);
// Below maxDeliveryDelay: the guarantee of a single owner does not cover orders that arrive later.
constexpr Duration maxOrderDelay = std::chrono::milliseconds(300);

}

LeaseOrderResponse FakeServer::grant(const LeaseOrder& order, TimePoint arrived)
{
    for (auto& [first, fence] : this->highestFences) {
        if (order.keys.contains(first) && fence > order.fence)
            return { LeaseOrderResult::HigherFenceSeen, {} };
    }
    for (const auto& held : this->heldRanges) {
        bool overlaps = held.keys.first <= order.keys.last && order.keys.first <= held.keys.last;
        if (overlaps && held.fence > order.fence)
            return { LeaseOrderResult::HigherFenceSeen, {} };
    }
    this->release(order);
    this->heldRanges.push_back({ order.keys, order.fence, arrived + order.leaseDuration });
    return { LeaseOrderResult::Accepted, {} };
}

LeaseOrderResponse FakeServer::release(const LeaseOrder& order)
{
    auto& fence = this->highestFences[order.keys.first];
    fence = std::max(fence, order.fence);
    std::vector<HeldRange> remaining;
    for (const auto& held : this->heldRanges) {
        bool overlaps = held.keys.first <= order.keys.last && order.keys.first <= held.keys.last;
        if (!overlaps || held.fence > order.fence) {
            remaining.push_back(held);
            continue;
        }
        if (held.keys.first < order.keys.first)
            remaining.push_back(
                { { held.keys.first, static_cast<fleet::Key>(order.keys.first - 1) }, held.fence, held.leaseEnd });
        if (held.keys.last > order.keys.last)
            remaining.push_back(
                { { static_cast<fleet::Key>(order.keys.last + 1), held.keys.last }, held.fence, held.leaseEnd });
    }
    this->heldRanges = std::move(remaining);
    return { LeaseOrderResult::Accepted, "handover" };
}

bool FakeServer::holds(fleet::Key key, TimePoint now) const
{
    return std::any_of(this->heldRanges.begin(), this->heldRanges.end(),
        [&](const HeldRange& held) { return held.keys.contains(key) && now < held.leaseEnd; });
}

LeaseManagerSimulation::LeaseManagerSimulation(std::uint64_t seed, Faults injected)
    : random(seed)
    , faults(injected)
{
    for (int i = 0; i < serverCount; ++i) {
        fleet::ServerEntry entry;
        entry.instance = { "s" + std::to_string(i), this->lastStartMillis };
        entry.service = "s";
        entry.address = "10.0.0." + std::to_string(i) + ":1";
        this->listed[entry.instance.id] = entry;
        this->servers.emplace_back(entry.instance);
    }
}

bool LeaseManagerSimulation::chance(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(this->random) < probability;
}

// Coordinators learn of changes with their next read, or seconds later while the store is unavailable.
void LeaseManagerSimulation::schedulePublish()
{
    if (!this->publishAt)
        this->publishAt
            = this->now + Duration(std::uniform_int_distribution<std::int64_t>(0, maxListLag.count())(this->random));
}

KeyLeaseOptions LeaseManagerSimulation::drawOptions()
{
    if (!this->faults.leasesChange)
        return {};
    auto longest = std::uniform_int_distribution<std::int64_t>(1000, 6000)(this->random);
    return KeyLeaseOptions::limitedTo(fromMillis(longest));
}

void LeaseManagerSimulation::publishServers()
{
    this->publishAt.reset();
    this->published = this->listed;
    if (this->manager)
        this->manager->setServers(this->published);
}

std::string LeaseManagerSimulation::run(Duration time)
{
    auto end = this->now + time;
    while (this->now < end) {
        this->now += step;
        this->injectFaults();
        this->tickManager();
        this->deliver();
        auto violation = this->findViolation();
        if (!violation.empty())
            return "after " + std::to_string(toMillis(this->now) - 1'000'000) + " ms: " + violation;
    }
    return {};
}

void LeaseManagerSimulation::injectFaults()
{
    // Probabilities are per step of 10 ms; the rates per second are a hundred times as high.
    auto randomEntry = [&] {
        auto at = this->listed.begin();
        std::advance(at, std::uniform_int_distribution<std::size_t>(0, this->listed.size() - 1)(this->random));
        return at;
    };
    if (this->faults.serversRestart && this->chance(0.003)) {
        auto entry = randomEntry();
        auto instance = entry->second.instance;
        this->servers.remove_if([&](const FakeServer& server) { return server.instance.id == instance.id; });
        entry->second.instance.startMillis = ++this->lastStartMillis;
        this->servers.emplace_back(entry->second.instance);
        this->schedulePublish();
    }
    if (this->faults.serversDrain && this->chance(0.003)) {
        auto entry = randomEntry();
        entry->second.state = entry->second.state == fleet::ServerState::Ready ? fleet::ServerState::Draining
                                                                               : fleet::ServerState::Ready;
        this->schedulePublish();
    }
    if (this->faults.serversDelisted && this->listed.size() > 2 && this->chance(0.002)) {
        this->listed.erase(randomEntry());
        this->schedulePublish();
    }
    if (this->faults.serversDelisted && this->listed.size() < serverCount && this->chance(0.005)) {
        for (const auto& server : this->servers) {
            if (this->listed.contains(server.instance.id))
                continue;
            fleet::ServerEntry entry;
            entry.instance = server.instance;
            entry.service = "s";
            entry.address = "10.0.0.9:1";
            this->listed[server.instance.id] = entry;
            break;
        }
        this->schedulePublish();
    }
    if (this->publishAt && this->now >= *this->publishAt)
        this->publishServers();
    // A new coordinator writes under its own term first, so writes of the old one no longer succeed.
    bool replace = this->faults.coordinatorsReplaced && this->chance(0.002);
    if (!this->manager || replace) {
        this->pendingWrite.reset();
        auto plan = this->storedPlan.value_or(KeyPlan::unowned("s"));
        this->manager = std::make_unique<KeyLeaseManager>(plan, ++this->managerNumber, this->drawOptions(), this->now);
        if (this->published.empty())
            this->publishServers();
        this->manager->setServers(this->published);
    }
    if (this->faults.leasesChange && this->chance(0.002))
        this->manager->setOptions(this->drawOptions());
    if (this->chance(0.2))
        this->load.recordRequest(static_cast<fleet::Key>(std::uniform_int_distribution<int>(0, 3000)(this->random)));
}

void LeaseManagerSimulation::tickManager()
{
    // A quarter of the rate of the coordinator, since this takes most of the time of the sanitized test.
    if (toMillis(this->now) % 1000 == 0)
        this->load.updateAverages(this->now);
    if (toMillis(this->now) % 250 == 0) {
        ServerCapacities capacities;
        for (const auto& [id, entry] : this->published)
            capacities[entry.instance] = 5;
        this->manager->setCapacities(capacities);
    }
    auto outputs = this->manager->tick(this->load, this->now);
    if (outputs.planToWrite)
        this->pendingWrite.emplace(this->now + std::chrono::milliseconds(20), *outputs.planToWrite);
    for (const auto& order : outputs.orders)
        this->send(order);
    if (this->pendingWrite && this->now >= this->pendingWrite->first) {
        this->storedPlan = this->pendingWrite->second;
        auto sequence = this->pendingWrite->second.sequence;
        this->pendingWrite.reset();
        this->manager->confirmWrite(sequence, this->now);
    }
}

void LeaseManagerSimulation::send(const LeaseOrder& order)
{
    auto delay = this->chance(this->faults.orderDelayed)
        ? Duration(std::uniform_int_distribution<std::int64_t>(0, maxOrderDelay.count())(this->random))
        : Duration(std::chrono::milliseconds(10));
    InFlightOrder message { order, this->managerNumber, this->now + delay, std::nullopt, std::nullopt, false };
    if (this->chance(this->faults.orderLost)) {
        message.carriedOut = true;
        message.respondsAt = this->now + std::chrono::milliseconds(700);
        message.response = LeaseOrderResponse { LeaseOrderResult::Unknown, {} };
    }
    this->inFlight.push_back(std::move(message));
}

void LeaseManagerSimulation::deliver()
{
    for (auto& message : this->inFlight) {
        if (message.carriedOut || this->now < message.arrivesAt)
            continue;
        message.carriedOut = true;
        auto server = std::find_if(this->servers.begin(), this->servers.end(),
            // An order names only the id, which a restarted server keeps.
            [&](const FakeServer& candidate) { return candidate.instance.id == message.order.server.id; });
        message.respondsAt = this->now + std::chrono::milliseconds(10);
        if (server == this->servers.end())
            message.response = LeaseOrderResponse { LeaseOrderResult::NotSent, {} };
        else if (message.order.type == LeaseOrderType::Grant)
            message.response = server->grant(message.order, this->now);
        else
            message.response = server->release(message.order);
        if (this->chance(this->faults.responseLost)) {
            message.response = LeaseOrderResponse { LeaseOrderResult::Unknown, {} };
            message.respondsAt = this->now + std::chrono::milliseconds(700);
        }
    }
    for (auto message = this->inFlight.begin(); message != this->inFlight.end();) {
        if (!message->respondsAt || this->now < *message->respondsAt) {
            ++message;
            continue;
        }
        if (message->senderNumber == this->managerNumber)
            this->manager->handleResponse(message->order.id, *message->response, this->now);
        message = this->inFlight.erase(message);
    }
}

std::string LeaseManagerSimulation::findViolation() const
{
    // The first and last keys of the ranges are enough, since owners change only there.
    std::set<fleet::Key> keys;
    for (const auto& range : this->manager->plan().ranges) {
        keys.insert(range.keys.first);
        keys.insert(range.keys.last);
    }
    for (auto key : keys) {
        std::string holders;
        int count = 0;
        for (const auto& server : this->servers) {
            if (!server.holds(key, this->now))
                continue;
            ++count;
            holders += " " + server.instance.id;
        }
        if (count > 1)
            return "key " + std::to_string(key) + " is held by" + holders;
    }
    return {};
}

double LeaseManagerSimulation::ownedShare() const
{
    double owned = 0;
    for (const auto& range : this->manager->plan().ranges) {
        if (this->manager->ownerOf(range.keys.first, this->now).ownership == balance::Ownership::Owned)
            owned += range.keys.size();
    }
    return owned / fleet::keyCount;
}

}
