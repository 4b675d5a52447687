#pragma once

#include "ServerSessions.h"

#include <map>
#include <string>

namespace sequoia::ownership {

//! Number of concurrent requests that a server can run, scaled by its relative speed.
double capacityOf(const wire::Host& host);

//! Selects owners and successors for slices in proportion to server capacity.
class ServerSelector {
public:
    //! Counts the owners and successors that `record` names.
    ServerSelector(const ServerSessions& sessions, const wire::PartitionRecord& record, TimePoint now);

    //! A successor other than the slice's owner, preferably in another data centre; empty when there is none. Spreads
    //! the successors of one owner's slices, so that its loss does not overload one server.
    std::string successorFor(const wire::Slice& slice);
    //! The server with the fewest slices for its capacity, other than `except`; empty when there is none.
    std::string ownerFor(const std::string& except);

    //! Updates the counts; called for each change to a working copy of the record.
    void countOwner(const std::string& server, int change) { this->owned[server] += change; }
    void countSuccessor(const wire::Slice& slice, int change);

    int ownedBy(const std::string& server) const;
    //! The servers that may be given slices.
    const std::map<std::string, wire::Host>& assignableServers() const { return this->assignable; }

private:
    std::map<std::string, wire::Host> assignable;
    std::map<std::string, std::string> dataCentres;
    std::map<std::string, int> owned;
    std::map<std::string, std::map<std::string, int>> successorsOf; //!< by owner, then by successor
    std::map<std::string, int> successorTotal;
};

}
