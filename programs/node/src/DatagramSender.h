#pragma once

#include "coordination/FleetTraffic.h"
#include "net/UdpSocket.h"
#include "timeline/EventLog.h"

#include <memory>
#include <peer.pb.h>
#include <string>

namespace sequoia::node {

//! Sends datagrams to other hosts. Counts those that the kernel refuses, and logs them at a bounded rate.
class DatagramSender {
public:
    DatagramSender(net::Reactor& reactor, timeline::EventLog& events);

    void setSocket(std::unique_ptr<net::UdpSocket> bound) { this->socket = std::move(bound); }
    void send(const wire::Datagram& datagram, const std::string& address, coordination::TrafficScope scope);
    const coordination::FleetTraffic& traffic() const { return this->sentTraffic; }
    std::uint64_t refusedCount() const { return this->refused; }

private:
    net::Reactor& reactor;
    timeline::EventLog& events;
    std::unique_ptr<net::UdpSocket> socket;
    coordination::FleetTraffic sentTraffic;
    std::uint64_t refused = 0;
    TimePoint lastLogged {};
};

}
