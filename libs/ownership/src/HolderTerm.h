#pragma once

#include "EventSink.h"
#include "RecordPlanner.h"
#include "ServerSessions.h"
#include "SliceActivation.h"

#include <map>
#include <string>

namespace sequoia::ownership {

//! State of the holder in one term. A new term starts with a new object.
class HolderTerm {
public:
    HolderTerm(const PartitionOptions& options, std::uint64_t term, TimePoint holderSince, Outputs& outputs);

    std::uint64_t currentTerm() const { return this->term; }
    TimePoint since() const { return this->holderSince; }

    void setHosts(const std::map<std::string, wire::Host>& hosts, TimePoint now);
    void setRecord(const lease::VersionedRecord& record);
    void onGrantAnswered(const GrantAnswered& message, TimePoint now);
    void onGrantFailed(const GrantFailed& message);
    void confirmGone(const std::string& server);
    //! Drops the slices of servers whose leases have expired.
    void expire(TimePoint now);
    //! Evaluates every slice: releases slices that move, and activates slices that no server can hold.
    void decide(const wire::PartitionRecord* proposal, TimePoint now);
    void sendDue(Outputs& outputs, TimePoint now);

    ServerSessions sessions;
    EventSink events;
    SliceActivation activation;
    RecordPlanner planner;

private:
    std::uint64_t term;
    TimePoint holderSince;
    GrantSender sender;
    std::uint64_t recordVersion = 0;
    bool hasRecord = false;
};

}
