#pragma once

#include "coordination/Coordinator.h"
#include "coordination/HostIdentity.h"
#include "coordination/PlacementClient.h"
#include "core/ManualClock.h"

#include <map>
#include <string>
#include <vector>

namespace sequoia::coordination {

//! A process of a host without sockets: its identity and its placement client. Job numbers begin with 1.
class TestProcess : public edge::PlacementObserver {
public:
    TestProcess(const ManualClock& source, const std::string& incarnation, const fleet::ServerMap& servers)
        : clock(source)
        , identity(incarnation)
        , placement(source, {}, [] {})
    {
        this->placement.setServers(servers);
    }

    void onPlaced(std::uint64_t job, const edge::PlacementTarget& target) override { this->placed[job] = target; }
    void onRefused(std::uint64_t job, const edge::PlacementRefusal& refusal) override { this->refused[job] = refusal; }

    std::uint64_t submit(const std::string& service, Duration target = std::chrono::seconds(1),
        Duration deadline = std::chrono::seconds(4))
    {
        balance::Job job;
        job.id.number = ++this->lastJob;
        job.service = service;
        job.target = this->clock.now() + target;
        job.deadline = this->clock.now() + deadline;
        this->placement.submit(job, *this);
        return this->lastJob;
    }

    //! Returns a report with the messages that are to be sent.
    wire::Datagram takeDatagram()
    {
        wire::Datagram datagram;
        this->placement.takeMessages(datagram);
        this->placement.fillReport(*datagram.mutable_report());
        this->identity.setSender(datagram, this->term, this->clock.now());
        return datagram;
    }

    void receive(const wire::Datagram& datagram)
    {
        if (datagram.term() < this->term)
            return;
        this->term = datagram.term();
        auto addressee = this->identity.identifyReceiver(datagram, this->clock.now());
        this->placement.onCoordinatorContact(this->term);
        this->placement.receive(datagram, addressee, this->identity.number());
    }

    //! Delivers those messages of a coordinator that are sent to the address.
    void receive(std::vector<OutgoingDatagram> messages, const std::string& address, std::uint64_t coordinatorTerm)
    {
        for (auto& message : messages) {
            message.datagram.set_term(coordinatorTerm);
            if (message.address == address)
                this->receive(message.datagram);
        }
    }

    const ManualClock& clock;
    HostIdentity identity;
    PlacementClient placement;
    std::uint64_t term = 0;
    std::uint64_t lastJob = 0;
    std::map<std::uint64_t, edge::PlacementTarget> placed;
    std::map<std::uint64_t, edge::PlacementRefusal> refused;
};

}
