#include "keyspace/KeyPlan.h"

#include <algorithm>
#include <cassert>
#include <map>

namespace sequoia::keyspace {

namespace {

Error malformedPlan(const std::string& reason)
{
    return Error { ErrorKind::MalformedMessage, "malformed key plan: " + reason,
        "check that all hosts run the same version of the program" };
}

//! Assigns indices in the server table of the message, counted from 1; 0 stands for no server.
class ServerTable {
public:
    std::uint32_t indexOf(const fleet::ServerInstance& instance, wire::KeyPlan& message)
    {
        if (instance.id.empty())
            return 0;
        auto [found, added] = this->indices.try_emplace(instance, this->indices.size() + 1);
        if (added) {
            auto* server = message.add_servers();
            server->set_id(instance.id);
            server->set_born_ms(instance.startMillis);
        }
        return static_cast<std::uint32_t>(found->second);
    }

private:
    std::map<fleet::ServerInstance, std::size_t> indices;
};

std::optional<fleet::ServerInstance> serverAt(const wire::KeyPlan& message, std::uint32_t index)
{
    if (index == 0)
        return fleet::ServerInstance {};
    if (index > static_cast<std::uint32_t>(message.servers_size()))
        return std::nullopt;
    const auto& server = message.servers(static_cast<int>(index - 1));
    return fleet::ServerInstance { server.id(), server.born_ms() };
}

}

KeyPlan KeyPlan::unowned(const std::string& service)
{
    KeyPlan plan;
    plan.service = service;
    plan.ranges.push_back({ { 0, static_cast<fleet::Key>(fleet::keyCount - 1) }, {}, 0, std::nullopt, false });
    return plan;
}

Result<KeyPlan> KeyPlan::fromWire(const wire::KeyPlan& message)
{
    KeyPlan plan;
    plan.service = message.service();
    plan.term = message.term();
    plan.sequence = message.sequence();
    plan.lastFence = message.last_fence();
    std::uint32_t next = 0;
    for (const auto& range : message.ranges()) {
        auto owner = serverAt(message, range.owner());
        auto successor = serverAt(message, range.successor());
        if (!owner || !successor)
            return malformedPlan("a range refers to a server that is not in the server table");
        if (range.first() != next || range.last() < range.first() || range.last() >= fleet::keyCount)
            return malformedPlan("key ranges have a gap, overlap, or exceed the last key");
        if (std::max(range.fence(), range.successor_fence()) > plan.lastFence)
            return malformedPlan("the fence of a range is above last_fence");
        next = range.last() + 1;
        PlannedRange planned { { static_cast<fleet::Key>(range.first()), static_cast<fleet::Key>(range.last()) },
            *owner, range.fence(), std::nullopt, range.blocked() };
        if (!successor->id.empty())
            planned.successor = Successor { *successor, range.successor_fence() };
        plan.ranges.push_back(std::move(planned));
    }
    if (next != fleet::keyCount)
        return malformedPlan("key ranges do not cover all keys");
    return plan;
}

Result<KeyPlan> KeyPlan::parse(std::string_view bytes)
{
    wire::KeyPlan message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return malformedPlan("the bytes are not a valid protobuf message");
    return fromWire(message);
}

wire::KeyPlan KeyPlan::toWire() const
{
    wire::KeyPlan message;
    message.set_service(this->service);
    message.set_term(this->term);
    message.set_sequence(this->sequence);
    message.set_last_fence(this->lastFence);
    ServerTable servers;
    for (const auto& range : this->ranges) {
        auto* entry = message.add_ranges();
        entry->set_first(range.keys.first);
        entry->set_last(range.keys.last);
        entry->set_owner(servers.indexOf(range.owner, message));
        entry->set_fence(range.fence);
        entry->set_blocked(range.blocked);
        if (range.successor) {
            entry->set_successor(servers.indexOf(range.successor->server, message));
            entry->set_successor_fence(range.successor->fence);
        }
    }
    return message;
}

std::string KeyPlan::serialize() const
{
    return this->toWire().SerializeAsString();
}

std::size_t KeyPlan::rangeIndexOf(fleet::Key key) const
{
    auto found = std::lower_bound(this->ranges.begin(), this->ranges.end(), key,
        [](const PlannedRange& range, fleet::Key wanted) { return range.keys.last < wanted; });
    assert(found != this->ranges.end());
    return static_cast<std::size_t>(found - this->ranges.begin());
}

}
