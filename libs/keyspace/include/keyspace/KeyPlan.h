#pragma once

#include "core/Error.h"
#include "fleet/KeyRange.h"
#include "fleet/ServerEntry.h"

#include <optional>
#include <peer.pb.h>
#include <string>
#include <string_view>
#include <vector>

namespace sequoia::keyspace {

//! The next owner of keys, and the fence under which it will be granted them.
struct Successor {
    fleet::ServerInstance server;
    fleet::FencingToken fence = 0;

    bool operator==(const Successor&) const = default;
};

//! A range of keys with one owner. An empty owner id means that the keys have no owner.
struct PlannedRange {
    fleet::KeyRange keys;
    fleet::ServerInstance owner;
    fleet::FencingToken fence = 0;
    //! Set while the keys move; owner or successor may hold a lease then.
    std::optional<Successor> successor;
    //! A former owner or successor may still hold the keys, for at most one lease duration.
    bool blocked = false;

    bool operator==(const PlannedRange&) const = default;
};

//! Owners of the keys of one service. Written to the store before orders that depend on it are sent.
struct KeyPlan {
    std::string service;
    std::uint64_t term = 0;
    std::uint64_t sequence = 0;
    fleet::FencingToken lastFence = 0; //!< highest fence given out so far
    std::vector<PlannedRange> ranges; //!< ascending and without gaps, from key 0 to the last key

    //! A plan in which no key has an owner.
    static KeyPlan unowned(const std::string& service);
    static Result<KeyPlan> fromWire(const wire::KeyPlan& message);
    static Result<KeyPlan> parse(std::string_view bytes);
    wire::KeyPlan toWire() const;
    std::string serialize() const;

    //! Index of the range that contains the key.
    std::size_t rangeIndexOf(fleet::Key key) const;
};

}
