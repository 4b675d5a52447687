#include "coordination/HostIdentity.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace sequoia::coordination {

namespace {

// A coordinator that has forgotten this process sends it no datagrams. The process names itself by its number only
// while several of the last beacons have arrived.
constexpr Duration numberValidity = std::chrono::milliseconds(450);
// Bounds what wrong datagrams can add to the next one; more are reported with those after it.
constexpr std::size_t maxReplacedNumbers = 8;

}

std::uint64_t digestOfIncarnation(std::string_view incarnation)
{
    return std::max<std::uint64_t>(1, XXH3_64bits(incarnation.data(), incarnation.size()));
}

HostIdentity::HostIdentity(std::string ownIncarnation)
    : incarnation(std::move(ownIncarnation))
    , digest(digestOfIncarnation(this->incarnation))
{
}

Addressee HostIdentity::identifyReceiver(const wire::Datagram& datagram, TimePoint now)
{
    if (datagram.term() != this->currentTerm) {
        this->currentTerm = datagram.term();
        this->hostNumber = 0;
        this->replacedNumbers.clear();
    }
    auto number = datagram.host_number();
    if (number == 0)
        return Addressee::AnyProcess;
    bool isOwn = datagram.receiver() != 0 ? datagram.receiver() == this->digest : number == this->hostNumber;
    // Numbers grow during a term, so a lower one is from before the coordinator forgot this process.
    if (isOwn && number >= this->hostNumber) {
        this->hostNumber = number;
        this->numberHeardAt = now;
        return Addressee::ThisProcess;
    }
    ++this->misdirected;
    // Only one process at a time can bind an address, so the one that the datagram was for has ended.
    if (!isOwn && this->replacedNumbers.size() < maxReplacedNumbers)
        this->replacedNumbers.insert(number);
    return Addressee::OtherProcess;
}

void HostIdentity::setSender(wire::Datagram& datagram, std::uint64_t term, TimePoint now)
{
    datagram.set_term(term);
    bool isCurrentTerm = term == this->currentTerm;
    if (isCurrentTerm) {
        for (auto number : std::exchange(this->replacedNumbers, {}))
            datagram.add_replaced_hosts(number);
    }
    if (isCurrentTerm && this->hostNumber != 0 && now - this->numberHeardAt < numberValidity)
        datagram.set_host_number(this->hostNumber);
    else
        datagram.set_sender(this->incarnation);
}

}
