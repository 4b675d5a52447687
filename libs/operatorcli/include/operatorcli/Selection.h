#pragma once

#include "core/Clock.h"
#include "core/KeyHash.h"

#include <control.pb.h>
#include <event.pb.h>
#include <optional>
#include <record.pb.h>
#include <string>
#include <vector>

namespace sequoia::operatorcli {

//! The holder of a partition according to the statuses: of several, the one of the highest term.
std::optional<wire::Process> findHolder(const std::vector<wire::StatusReply>& statuses, const std::string& partition);

std::optional<wire::Slice> findSlice(const wire::PartitionRecord& record, KeyHash hash);
std::optional<wire::Route> findRoute(const wire::RouteTable& table, KeyHash hash);

//! Whether the event is about the partition and a range of hashes that contains this one.
bool concernsHash(const wire::Event& event, const std::string& partition, KeyHash hash);

//! The last `limit` events that concern the hash, in order.
std::vector<wire::Event> eventsAbout(
    const std::vector<wire::Event>& merged, const std::string& partition, KeyHash hash, std::size_t limit);

//! When the slice got its present epoch, if the event is still kept.
std::optional<WallMillis> assignedAt(
    const std::vector<wire::Event>& merged, const std::string& partition, const wire::Slice& slice);

//! Events not older than `oldest` (0: all) whose line contains `grep`.
std::vector<wire::Event> filterEvents(
    const std::vector<wire::Event>& merged, WallMillis oldest, const std::string& grep);

}
