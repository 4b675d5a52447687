#pragma once

#include "core/Clock.h"
#include "core/KeyHash.h"

#include <control.pb.h>
#include <event.pb.h>
#include <hosts.pb.h>
#include <optional>
#include <record.pb.h>
#include <string>
#include <vector>

namespace sequoia::operatorcli {

//! Answers of several processes, and the addresses of those that gave none.
struct StatusView {
    std::vector<wire::StatusReply> processes;
    std::vector<std::string> unreachable;
};

struct TimelineView {
    std::vector<wire::Event> events; //!< merged
    std::vector<std::string> unreachable;
    std::vector<std::string> incomplete; //!< processes that have already discarded events
};

struct RoutesView {
    wire::RouteTable table;
    bool fromHolder = false;
};

struct OwnerView {
    std::string service;
    std::string key;
    KeyHash hash = 0;
    std::optional<wire::Slice> slice;
    std::optional<wire::Route> route;
    std::optional<WallMillis> since; //!< unknown when the event is not kept any more
    bool fromHolder = false;
    std::vector<wire::Event> events; //!< the last ones about the slice
    std::vector<std::string> unreachable;
};

std::string toText(const StatusView& view);
std::string toText(const wire::HostList& hosts);
std::string toText(const RoutesView& view);
std::string toText(const OwnerView& view);
std::string toText(const TimelineView& view);

//! JSON by protobuf's JSON mapping; one object, with a trailing newline.
std::string toJson(const StatusView& view);
std::string toJson(const wire::HostList& hosts);
std::string toJson(const RoutesView& view);
std::string toJson(const OwnerView& view);
std::string toJson(const TimelineView& view);
std::string toJson(const wire::OperatorReply& reply);

//! One line of the time line.
std::string lineOf(const wire::Event& event);

//! A hash as 16 hexadecimal digits.
std::string hexOf(KeyHash hash);

}
