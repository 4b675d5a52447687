#pragma once

#include "core/Error.h"

#include <span>
#include <string>
#include <string_view>

namespace sequoia::settings {

enum class SettingType {
    Text,
    Address, //!< IP:port
    Number, //!< whole number
    Real,
    Flag, //!< true or false
    Duration, //!< number, also a fraction, with unit us, ms, s or min
    Size, //!< whole number of bytes with unit B, KiB or MiB
    List, //!< elements separated by semicolons
};

enum class FigurePresence {
    Required,
    Optional,
};

//! Declaration of one setting. Durations are bounded in microseconds, sizes in bytes.
struct SettingSpec {
    std::string_view section;
    std::string_view key;
    SettingType type;
    std::string_view defaultValue;
    double minimum;
    double maximum;
    std::string_view description;
    //! Whether a deployment may give no figure, or a flag in its place. The default applies then.
    FigurePresence presence = FigurePresence::Required;
};

//! All settings of all programs. The section `service` declares the keys of every `[service NAME]`.
std::span<const SettingSpec> schema();

//! The declaration of a key, or null. Accepts `service NAME` as section.
const SettingSpec* findSetting(std::string_view section, std::string_view key);

//! Whether the section is declared at all.
bool isDeclaredSection(std::string_view section);

//! Whether the value of an optional figure is empty, `true`, `false` or an unfilled placeholder `{{name}}`, each with
//! or without a unit.
bool lacksFigure(const SettingSpec& spec, std::string_view value);

//! Checks a value against its declaration; the message names type, unit and range.
Result<Success> checkValue(const SettingSpec& spec, const std::string& value);

//! Converts a checked duration (to microseconds) or size (to bytes); a failure names the units.
Result<double> parseQuantity(SettingType type, const std::string& value);

}
