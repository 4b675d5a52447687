#pragma once

#include "core/Clock.h"
#include "core/Error.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace sequoia::settings {

//! Checked settings of one process; immutable after start.
class Settings {
public:
    //! Reads an INI file, applies `section.key=value` overrides separated by commas, and checks everything
    //! against the schema. The error lists every mistake with file, section, key and remedy.
    static Result<Settings> load(const std::string& path, std::string_view overrides);

    //! As load(), from text; `name` stands for the file in errors.
    static Result<Settings> parse(const std::string& text, const std::string& name, std::string_view overrides);

    //! Values of a key that the schema declares; asserts that it does, with this type.
    const std::string& text(std::string_view section, std::string_view key) const;
    std::int64_t number(std::string_view section, std::string_view key) const;
    double real(std::string_view section, std::string_view key) const;
    bool flag(std::string_view section, std::string_view key) const;
    Duration duration(std::string_view section, std::string_view key) const;
    //! Elements separated by semicolons.
    std::vector<std::string> list(std::string_view section, std::string_view key) const;

    //! Names of the sections `[service NAME]`, in order of the file.
    const std::vector<std::string>& services() const { return this->serviceNames; }

    //! Keys whose values hold no figure, as section.key; the default is in force.
    const std::vector<std::string>& keysWithoutFigure() const { return this->missingFigures; }

    //! Keys whose values differ, as section.key; also those that only one of the two has.
    std::vector<std::string> changedKeys(const Settings& other) const;

    //! Every setting in force, as INI text.
    std::string toIni() const;

private:
    const std::string& lookup(std::string_view section, std::string_view key) const;

    std::map<std::string, std::map<std::string, std::string, std::less<>>, std::less<>> values;
    std::vector<std::string> serviceNames;
    std::vector<std::string> missingFigures;
};

}
