#pragma once

#include "core/Clock.h"

#include <peer.pb.h>
#include <string>

namespace sequoia::coordination {

//! How this process is known to the coordinators: by its incarnation, and within a term by a shorter number.
class HostIdentity {
public:
    explicit HostIdentity(std::string incarnation);

    //! Processes what a datagram of a coordinator of this or a later term says about the receiver.
    void receive(const wire::Datagram& datagram, TimePoint now);
    //! Names this process as the sender of a datagram to the coordinator of the term.
    void sign(wire::Datagram& datagram, std::uint64_t term, TimePoint now) const;

    //! This host's number in the term; 0 while it is not known.
    std::uint64_t number() const { return this->hostNumber; }

private:
    std::string incarnation;
    std::uint64_t currentTerm = 0;
    std::uint64_t hostNumber = 0;
    TimePoint numberHeardAt {};
};

}
