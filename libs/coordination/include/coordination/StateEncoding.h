#pragma once

#include "core/Error.h"
#include "fleet/Evacuations.h"
#include "fleet/ServerEntry.h"
#include "keyspace/KeyPlan.h"

#include <peer.pb.h>
#include <string>
#include <string_view>
#include <vector>

namespace sequoia::coordination {

//! Names of the groups of replicated state.
inline constexpr const char* serverGroup = "servers";
inline constexpr const char* configurationGroup = "configuration";
inline constexpr const char* evacuationGroup = "evacuations";
//! Names a group in a digest, of which each beacon has one for each group: by a short number if it has one.
void setGroup(const std::string& group, wire::StateDigest& digest);
//! Returns the name of the digest's group, or an empty text for an unknown number.
std::string groupOf(const wire::StateDigest& digest);
//! Whether the state of a group has to be in effect within a bound, and is sent before that of others.
bool isUrgentGroup(std::string_view group);
//! Keeps a datagram within one Ethernet frame: the loss of one fragment would lose all of them.
inline constexpr std::size_t maxPacketBytes = 1300;
std::string ownerGroup(const std::string& service);
//! Returns the service of an owner group, or an empty text for another group.
std::string serviceOfOwnerGroup(const std::string& group);

//! Encodes a list of backend servers. Equal lists have equal buckets on all hosts; the remaining warm-up, which changes
//! with each heartbeat, is left out.
std::vector<std::string> encodeServers(const fleet::ServerMap& servers);
//! The differences between two lists, each message small enough for one packet; empty if they would need more than
//! `maxBytes`.
std::vector<wire::ServerChanges> encodeServerChanges(
    const fleet::ServerMap& before, const fleet::ServerMap& after, std::size_t maxBytes);
void applyServerChanges(const wire::ServerChanges& changes, fleet::ServerMap& servers);
Result<fleet::ServerMap> decodeServers(const std::vector<std::string>& buckets);

//! Encodes who owns the keys of a service.
std::vector<std::string> encodeOwners(const keyspace::KeyPlan& plan);

//! Encodes a text of any length, such as a configuration.
std::vector<std::string> encodeText(const std::string& text);
std::string decodeText(const std::vector<std::string>& buckets);

std::vector<std::string> encodeEvacuations(const fleet::EvacuationState& state);
Result<fleet::EvacuationState> decodeEvacuations(const std::vector<std::string>& buckets);

}
