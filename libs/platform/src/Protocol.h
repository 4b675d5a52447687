#pragma once

#include "core/Error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sequoia::platform {

constexpr std::string_view tablePath = "/table/";
constexpr std::string_view objectsPath = "/objects/";
constexpr std::string_view hostsPath = "/hosts";

//! Checks the name of a row, an object or a host.
Result<Success> checkName(std::string_view name);

//! A strong entity tag with the version of a row, for example "12" with its quotes.
std::string formatEtag(std::uint64_t version);

//! The version in an entity tag; nothing for weak tags, lists and version 0.
std::optional<std::uint64_t> parseEtag(std::string_view tag);

}
