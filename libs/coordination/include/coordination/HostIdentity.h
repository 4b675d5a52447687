#pragma once

#include "core/Clock.h"

#include <peer.pb.h>
#include <set>
#include <string>
#include <string_view>

namespace sequoia::coordination {

//! Whom a datagram of the coordinator is for. It is sent to an address, where processes follow each other.
enum class Addressee {
    ThisProcess,
    AnyProcess, //!< It names no receiver.
    OtherProcess, //!< It is for an earlier process at this address, or under an earlier number of this one.
};

//! Digest that stands for an incarnation in datagrams; never zero.
std::uint64_t digestOfIncarnation(std::string_view incarnation);

//! How this process is known to the coordinators: by its incarnation, and within a term by a shorter number.
class HostIdentity {
public:
    explicit HostIdentity(std::string incarnation);

    //! Decides whom a datagram of a coordinator of this or a later term is for, and learns the number of this process.
    Addressee identifyReceiver(const wire::Datagram& datagram, TimePoint now);
    //! Names this process as the sender of a datagram to the coordinator of the term, and the processes that it has
    //! replaced.
    void setSender(wire::Datagram& datagram, std::uint64_t term, TimePoint now);

    //! This process's number in the term; 0 while it is not known.
    std::uint64_t number() const { return this->hostNumber; }
    //! Datagrams that were for another process.
    std::uint64_t misdirectedDatagrams() const { return this->misdirected; }

private:
    std::string incarnation;
    std::uint64_t digest;
    std::uint64_t currentTerm = 0;
    std::uint64_t hostNumber = 0;
    TimePoint numberHeardAt {};
    std::set<std::uint64_t> replacedNumbers; //!< not reported yet
    std::uint64_t misdirected = 0;
};

}
