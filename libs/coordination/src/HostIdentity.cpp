#include "coordination/HostIdentity.h"

#include <utility>

namespace sequoia::coordination {

namespace {

// A coordinator that has forgotten this host sends it no beacons. The host names itself by its number only while
// several of the last ones have arrived.
constexpr Duration numberValidity = std::chrono::milliseconds(450);

}

HostIdentity::HostIdentity(std::string ownIncarnation)
    : incarnation(std::move(ownIncarnation))
{
}

void HostIdentity::receive(const wire::Datagram& datagram, TimePoint now)
{
    if (datagram.term() != this->currentTerm) {
        this->currentTerm = datagram.term();
        this->hostNumber = 0;
    }
    if (!datagram.has_beacon())
        return;
    this->hostNumber = datagram.beacon().host_number();
    this->numberHeardAt = now;
}

void HostIdentity::sign(wire::Datagram& datagram, std::uint64_t term, TimePoint now) const
{
    datagram.set_term(term);
    if (this->hostNumber != 0 && term == this->currentTerm && now - this->numberHeardAt < numberValidity) {
        datagram.clear_sender();
        datagram.set_host_number(this->hostNumber);
        return;
    }
    datagram.set_sender(this->incarnation);
}

}
