#include "TestServers.h"
#include "coordination/Coordinator.h"
#include "coordination/KeyPlanCache.h"
#include "coordination/StateEncoding.h"
#include "coordination/StatePublisher.h"
#include "coordination/StateReplica.h"
#include "core/ManualClock.h"
#include "core/Random.h"

#include <doctest/doctest.h>

using namespace sequoia;
using namespace sequoia::coordination;

namespace {

constexpr std::size_t ethernetPayload = 1500;

//! A coordinator and hosts that report to it, over a network that loses datagrams.
class Replication {
public:
    Replication(std::size_t hostCount, double lossRate)
        : replicas(hostCount)
        , loss(lossRate)
    {
        this->coordinator.start({});
    }

    bool isLost()
    {
        std::uniform_real_distribution<double> distribution(0, 1);
        return distribution(this->random) < this->loss;
    }

    static std::string addressOf(std::size_t host) { return "10.0.0.1:" + std::to_string(host + 1); }

    void deliver(std::vector<OutgoingDatagram> messages)
    {
        for (auto& message : messages) {
            message.datagram.set_term(1);
            this->largest = std::max(this->largest, message.datagram.ByteSizeLong());
            this->sentBytes += message.datagram.ByteSizeLong();
            auto host = static_cast<std::size_t>(std::stoul(message.address.substr(9))) - 1;
            if (this->isLost())
                continue;
            this->replicas[host].apply(message.datagram);
            if (message.datagram.has_server_changes()) {
                auto servers = valueOf(decodeServers(this->replicas[host].contents(serverGroup)));
                applyServerChanges(message.datagram.server_changes(), servers);
                this->replicas[host].assign(serverGroup, encodeServers(servers));
            }
        }
    }

    //! One round of reports and beacons.
    void round()
    {
        for (std::size_t i = 0; i < this->replicas.size(); ++i) {
            wire::Datagram report;
            report.set_sender("h" + std::to_string(i));
            this->replicas[i].fillRequests(*report.mutable_report());
            if (!this->isLost())
                this->coordinator.receive(report, addressOf(i));
        }
        this->deliver(this->coordinator.takeReplies());
        this->deliver(this->coordinator.makeBeacons({ "self", false, false, 0 }));
        this->clock.advance(std::chrono::milliseconds(150));
    }

    std::size_t currentHosts(const std::string& group) const
    {
        return static_cast<std::size_t>(std::count_if(this->replicas.begin(), this->replicas.end(),
            [&](const StateReplica& replica) { return replica.isCurrent(group); }));
    }

    ManualClock clock;
    RandomEngine random { 7 };
    Coordinator coordinator { this->clock, 1, {}, {} };
    std::vector<StateReplica> replicas;
    double loss;
    std::size_t largest = 0;
    std::size_t sentBytes = 0;
};

}

// Guards against lists that never arrive: one datagram for the whole list is refused by the kernel from a thousand
// servers on, and its thirty fragments seldom survive a link that loses packets.
TEST_CASE("hosts get the list of two thousand servers over a lossy network, in datagrams of one packet")
{
    Replication replication(5, 0.1);
    auto servers = makeServers(2000);
    replication.coordinator.setServers(servers);
    int rounds = 0;
    for (; rounds < 200 && replication.currentHosts(serverGroup) < 5; ++rounds)
        replication.round();
    CHECK(rounds <= 60);
    for (const auto& replica : replication.replicas)
        CHECK(valueOf(decodeServers(replica.contents(serverGroup))) == servers);
    // A bucket of two thousand servers is larger than a packet; it still is a single message.
    CHECK(replication.largest < 3 * ethernetPayload);
}

TEST_CASE("a change reaches all hosts with the next beacons, and costs one row for each")
{
    Replication replication(195, 0);
    auto servers = makeServers(540);
    replication.coordinator.setServers(servers);
    // All hosts have read the list themselves.
    for (auto& replica : replication.replicas)
        replica.assign(serverGroup, encodeServers(servers));
    replication.round();
    replication.round();
    CHECK(replication.currentHosts(serverGroup) == 195);
    CHECK(replication.largest < ethernetPayload);
    replication.sentBytes = 0;
    replication.round();
    auto idleBytes = replication.sentBytes;
    servers.begin()->second.state = fleet::ServerState::Draining;
    replication.coordinator.setServers(servers);
    replication.sentBytes = 0;
    replication.round();
    CHECK(replication.currentHosts(serverGroup) == 195);
    CHECK(replication.sentBytes - idleBytes < 195 * 200);
}

// Guards against a coordinator that sends everything again after a takeover.
TEST_CASE("a new coordinator with the same state sends none of it")
{
    Replication replication(20, 0);
    auto servers = makeServers(540);
    replication.coordinator.setServers(servers);
    for (int i = 0; i < 40; ++i)
        replication.round();
    REQUIRE(replication.currentHosts(serverGroup) == 20);
    Coordinator next(replication.clock, 2, {}, {});
    next.setServers(servers);
    next.start({});
    std::size_t bucketBytes = 0;
    for (int round = 0; round < 5; ++round) {
        for (std::size_t i = 0; i < replication.replicas.size(); ++i) {
            wire::Datagram report;
            report.set_sender("h" + std::to_string(i));
            replication.replicas[i].fillRequests(*report.mutable_report());
            next.receive(report, Replication::addressOf(i));
        }
        for (auto& message : next.takeReplies())
            bucketBytes += static_cast<std::size_t>(message.datagram.buckets_size());
        for (auto& message : next.makeBeacons({ "self", false, false, 0 })) {
            message.datagram.set_term(2);
            auto host = static_cast<std::size_t>(std::stoul(message.address.substr(9))) - 1;
            replication.replicas[host].apply(message.datagram);
        }
    }
    CHECK(bucketBytes == 0);
    CHECK(replication.currentHosts(serverGroup) == 20);
}

TEST_CASE("datagrams that overtake each other do not bring an older state back")
{
    StatePublisher publisher;
    StateReplica replica;
    auto datagramOf = [&](std::uint64_t sequence) {
        wire::Datagram datagram;
        datagram.set_term(1);
        datagram.set_sequence(sequence);
        publisher.fillDigests(*datagram.mutable_beacon());
        wire::StateRequest request;
        request.set_group("group");
        for (const auto& bucket : publisher.differences(request))
            *datagram.add_buckets() = bucket;
        return datagram;
    };
    publisher.publish("group", { "old" });
    auto first = datagramOf(1);
    publisher.publish("group", { "new" });
    auto second = datagramOf(2);
    replica.apply(second);
    replica.apply(first);
    CHECK(replica.contents("group") == std::vector<std::string> { "new" });
    CHECK(replica.isCurrent("group"));
}

TEST_CASE("malformed buckets and digests change nothing")
{
    StateReplica replica;
    wire::Datagram datagram;
    datagram.set_term(1);
    datagram.set_sequence(1);
    auto* bucket = datagram.add_buckets();
    bucket->set_group("group");
    bucket->set_index(5);
    bucket->set_count(5);
    auto* huge = datagram.add_buckets();
    huge->set_group("group");
    huge->set_count(4'000'000'000);
    datagram.mutable_beacon()->add_digests()->set_group_number(99);
    CHECK(replica.apply(datagram).empty());
    CHECK(replica.contents("group").empty());
    wire::Report report;
    replica.fillRequests(report);
    CHECK(report.state_requests_size() == 0);
    CHECK_FALSE(succeeded(decodeServers({ "\xff\xff\xff" })));
    KeyPlanCache owners;
    CHECK_FALSE(succeeded(owners.update("service", { "\xff\xff\xff" })));
    CHECK(owners.ownerOf("service", 7).ownership == balance::Ownership::Unowned);
}

TEST_CASE("a text of any length is copied whole, also when it becomes shorter")
{
    StateReplica replica;
    StatePublisher publisher;
    std::uint64_t sequence = 0;
    for (std::size_t length : { 5000U, 0U, 999U, 1000U, 1001U, 100'000U, 3U }) {
        std::string text(length, 'x');
        for (std::size_t i = 0; i < length; ++i)
            text[i] = static_cast<char>('a' + (i * 7 + length) % 26);
        publisher.publish(configurationGroup, encodeText(text));
        for (int i = 0; i < 2; ++i) {
            wire::Datagram datagram;
            datagram.set_term(1);
            datagram.set_sequence(++sequence);
            wire::Report report;
            replica.fillRequests(report);
            for (const auto& request : report.state_requests()) {
                for (const auto& bucket : publisher.differences(request))
                    *datagram.add_buckets() = bucket;
            }
            publisher.fillDigests(*datagram.mutable_beacon());
            replica.apply(datagram);
        }
        CAPTURE(length);
        CHECK(replica.isCurrent(configurationGroup));
        bool same = decodeText(replica.contents(configurationGroup)) == text;
        CHECK(same);
    }
}

TEST_CASE("the owners of keys are copied, and keys that move have no owner")
{
    keyspace::KeyPlan plan;
    plan.service = "service";
    plan.ranges = { { { 0, 999 }, { "s1", 1 }, 5, std::nullopt, false },
        { { 1000, 40'000 }, { "s2", 1 }, 6, keyspace::Successor { { "s3", 1 }, 7 }, false },
        { { 40'001, 65'534 }, { "", 0 }, 0, std::nullopt, false },
        { { 65'535, 65'535 }, { "s4", 1 }, 8, std::nullopt, false } };
    KeyPlanCache owners;
    REQUIRE(succeeded(owners.update("service", encodeOwners(plan))));
    CHECK(owners.ownerOf("service", 0).server == "s1");
    CHECK(owners.ownerOf("service", 999).server == "s1");
    CHECK(owners.ownerOf("service", 1000).ownership == balance::Ownership::Moving);
    CHECK(owners.ownerOf("service", 40'000).ownership == balance::Ownership::Moving);
    CHECK(owners.ownerOf("service", 40'001).ownership == balance::Ownership::Unowned);
    CHECK(owners.ownerOf("service", 65'535).server == "s4");
    CHECK(owners.ownerOf("other", 0).ownership == balance::Ownership::Moving);
    // Higher fences alone change nothing for hosts.
    auto before = encodeOwners(plan);
    for (auto& range : plan.ranges)
        range.fence += 100;
    CHECK(encodeOwners(plan) == before);
}
