#include "DatagramSender.h"

namespace sequoia::node {

namespace {

constexpr Duration refusalLogInterval = std::chrono::seconds(1);

}

DatagramSender::DatagramSender(net::Reactor& owner, timeline::EventLog& log)
    : reactor(owner)
    , events(log)
{
}

void DatagramSender::send(const wire::Datagram& datagram, const std::string& address, coordination::TrafficScope scope)
{
    auto target = net::SocketAddress::parse(address);
    // No coordinator is known yet, or it has resigned.
    if (!succeeded(target))
        return;
    auto sent = this->socket->send(datagram.SerializeAsString(), valueOf(target));
    if (succeeded(sent)) {
        this->sentTraffic.add(datagram, scope);
        return;
    }
    ++this->refused;
    auto now = this->reactor.now();
    if (this->refused > 1 && now - this->lastLogged < refusalLogInterval)
        return;
    this->lastLogged = now;
    this->events.record(timeline::Severity::Warn, "datagram_not_sent",
        { { "count", std::to_string(this->refused) }, { "reason", errorOf(sent).message },
            { "remedy", errorOf(sent).remedy } });
}

}
