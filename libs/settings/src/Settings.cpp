#include "settings/Settings.h"

#include "settings/Schema.h"

#include <cassert>
#include <cmath>
#include <fstream>
#include <glib.h>
#include <memory>
#include <set>
#include <sstream>

namespace sequoia::settings {

namespace {

struct KeyFileDeleter {
    void operator()(GKeyFile* file) const { g_key_file_unref(file); }
};
using KeyFile = std::unique_ptr<GKeyFile, KeyFileDeleter>;

struct StringArrayDeleter {
    void operator()(gchar** array) const { g_strfreev(array); }
};
using StringArray = std::unique_ptr<gchar*, StringArrayDeleter>;

//! Collects all mistakes, so that one run shows the whole list.
class Mistakes {
public:
    explicit Mistakes(std::string fileName)
        : file(std::move(fileName))
    {
    }

    void add(const std::string& section, const std::string& key, const std::string& message, const std::string& remedy)
    {
        this->lines += this->lines.empty() ? "" : "\n";
        this->lines
            += this->file + ": [" + section + "]" + (key.empty() ? "" : " " + key) + ": " + message + "; " + remedy;
    }

    bool empty() const { return this->lines.empty(); }
    const std::string& text() const { return this->lines; }

private:
    std::string file;
    std::string lines;
};

std::string declaredKeys(const std::string& section)
{
    std::string names;
    for (const auto& spec : schema()) {
        if (findSetting(section, spec.key) == &spec)
            names += (names.empty() ? "" : ", ") + std::string(spec.key);
    }
    return names;
}

void checkKey(GKeyFile* file, const std::string& section, const std::string& key, Mistakes& mistakes)
{
    const auto* spec = findSetting(section, key);
    if (!spec) {
        mistakes.add(section, key, "unknown key", "remove it or use one of: " + declaredKeys(section));
        return;
    }
    GError* error = nullptr;
    std::unique_ptr<gchar, decltype(&g_free)> value(
        g_key_file_get_string(file, section.c_str(), key.c_str(), &error), &g_free);
    if (!value) {
        mistakes.add(section, key, error->message, "write the value as UTF-8 text");
        g_error_free(error);
        return;
    }
    auto checked = checkValue(*spec, value.get());
    if (!succeeded(checked))
        mistakes.add(section, key, errorOf(checked).message, errorOf(checked).remedy);
}

void checkFile(GKeyFile* file, Mistakes& mistakes)
{
    StringArray groups(g_key_file_get_groups(file, nullptr));
    for (gchar** group = groups.get(); *group; ++group) {
        if (!isDeclaredSection(*group)) {
            mistakes.add(*group, "", "unknown section", "remove it or correct its name");
            continue;
        }
        StringArray keys(g_key_file_get_keys(file, *group, nullptr, nullptr));
        for (gchar** key = keys.get(); *key; ++key)
            checkKey(file, *group, *key, mistakes);
    }
}

void applyOverrides(GKeyFile* file, std::string_view overrides, Mistakes& mistakes)
{
    std::stringstream stream { std::string(overrides) };
    std::string entry;
    while (std::getline(stream, entry, ',')) {
        auto equals = entry.find('=');
        auto dot = entry.rfind('.', equals);
        if (equals == std::string::npos || dot == std::string::npos || dot == 0) {
            mistakes.add("--set", "", "\"" + entry + "\" is not an override", "write section.key=value");
            continue;
        }
        auto section = entry.substr(0, dot);
        auto key = entry.substr(dot + 1, equals - dot - 1);
        g_key_file_set_string(file, section.c_str(), key.c_str(), entry.substr(equals + 1).c_str());
    }
}

std::string valueOrDefault(GKeyFile* file, const std::string& section, const SettingSpec& spec)
{
    std::unique_ptr<gchar, decltype(&g_free)> value(
        g_key_file_get_string(file, section.c_str(), std::string(spec.key).c_str(), nullptr), &g_free);
    return value && !lacksFigure(spec, value.get()) ? std::string(value.get()) : std::string(spec.defaultValue);
}

std::vector<std::string> findMissingFigures(GKeyFile* file)
{
    std::vector<std::string> keys;
    for (const auto& spec : schema()) {
        std::string section(spec.section);
        std::string key(spec.key);
        std::unique_ptr<gchar, decltype(&g_free)> value(
            g_key_file_get_string(file, section.c_str(), key.c_str(), nullptr), &g_free);
        if (value && lacksFigure(spec, value.get()))
            keys.push_back(section.append(".").append(key));
    }
    return keys;
}

//! Relations between settings that a single range cannot express.
void checkRelations(const Settings& settings, Mistakes& mistakes)
{
    auto require = [&](bool holds, const char* key, const char* message, const char* remedy) {
        if (!holds)
            mistakes.add("ownership", key, message, remedy);
    };
    auto controllerLease = settings.duration("ownership", "controller_lease");
    auto serverLease = settings.duration("ownership", "server_lease");
    require(settings.duration("ownership", "controller_renew") * 3 <= controllerLease, "controller_renew",
        "one lost renewal would end the lease", "set it to a third of controller_lease or less");
    require(settings.duration("ownership", "server_renew") * 3 <= serverLease, "server_renew",
        "one lost grant would end the lease", "set it to a third of server_lease or less");
    require(controllerLease * 2 <= serverLease, "server_lease",
        "server leases would end before another controller takes over", "set it to twice controller_lease or more");
    for (const auto& service : settings.services()) {
        const auto& kind = settings.text("service " + service, "kind");
        if (kind != "keyed" && kind != "upload")
            mistakes.add("service " + service, "kind", "\"" + kind + "\" is not a kind", "write keyed or upload");
    }
    const auto& level = settings.text("log", "level");
    if (level != "debug" && level != "info" && level != "warn" && level != "error")
        mistakes.add("log", "level", "\"" + level + "\" is not a level", "write debug, info, warn or error");
}

}

Result<Settings> Settings::load(const std::string& path, std::string_view overrides)
{
    std::ifstream stream(path);
    if (!stream)
        return Error { ErrorKind::InvalidSettings, path + ": cannot be read", "check the path and its permissions" };
    std::stringstream text;
    text << stream.rdbuf();
    return parse(text.str(), path, overrides);
}

Result<Settings> Settings::parse(const std::string& text, const std::string& name, std::string_view overrides)
{
    KeyFile file(g_key_file_new());
    GError* error = nullptr;
    if (!g_key_file_load_from_data(file.get(), text.data(), text.size(), G_KEY_FILE_NONE, &error)) {
        Error failure { ErrorKind::InvalidSettings, name + ": " + error->message,
            "write [section] lines, key=value lines and # comments" };
        g_error_free(error);
        return failure;
    }
    Mistakes mistakes(name);
    applyOverrides(file.get(), overrides, mistakes);
    checkFile(file.get(), mistakes);
    if (!mistakes.empty())
        return Error { ErrorKind::InvalidSettings, mistakes.text(), "" };

    Settings settings;
    StringArray groups(g_key_file_get_groups(file.get(), nullptr));
    std::vector<std::string> sections;
    for (gchar** group = groups.get(); *group; ++group) {
        std::string section(*group);
        if (section.starts_with("service ")) {
            settings.serviceNames.push_back(section.substr(std::string_view("service ").size()));
            sections.push_back(section);
        }
    }
    for (const auto& spec : schema()) {
        if (spec.section != "service") {
            std::string section(spec.section);
            settings.values[section][std::string(spec.key)] = valueOrDefault(file.get(), section, spec);
            continue;
        }
        for (const auto& section : sections)
            settings.values[section][std::string(spec.key)] = valueOrDefault(file.get(), section, spec);
    }
    settings.missingFigures = findMissingFigures(file.get());
    checkRelations(settings, mistakes);
    if (!mistakes.empty())
        return Error { ErrorKind::InvalidSettings, mistakes.text(), "" };
    return settings;
}

const std::string& Settings::lookup(std::string_view section, std::string_view key) const
{
    auto group = this->values.find(section);
    assert(group != this->values.end());
    auto value = group->second.find(key);
    assert(value != group->second.end());
    return value->second;
}

const std::string& Settings::text(std::string_view section, std::string_view key) const
{
    return this->lookup(section, key);
}

std::int64_t Settings::number(std::string_view section, std::string_view key) const
{
    const auto* spec = findSetting(section, key);
    assert(spec && (spec->type == SettingType::Number || spec->type == SettingType::Size));
    return std::llround(valueOf(parseQuantity(spec->type, this->lookup(section, key))));
}

double Settings::real(std::string_view section, std::string_view key) const
{
    return valueOf(parseQuantity(SettingType::Real, this->lookup(section, key)));
}

bool Settings::flag(std::string_view section, std::string_view key) const
{
    return this->lookup(section, key) == "true";
}

Duration Settings::duration(std::string_view section, std::string_view key) const
{
    return Duration(std::llround(valueOf(parseQuantity(SettingType::Duration, this->lookup(section, key)))));
}

std::vector<std::string> Settings::list(std::string_view section, std::string_view key) const
{
    std::vector<std::string> elements;
    std::stringstream stream(this->lookup(section, key));
    std::string element;
    while (std::getline(stream, element, ';')) {
        if (!element.empty())
            elements.push_back(element);
    }
    return elements;
}

std::vector<std::string> Settings::changedKeys(const Settings& other) const
{
    std::set<std::string> changed;
    auto compare = [&changed](const Settings& left, const Settings& right) {
        for (const auto& [section, keys] : left.values) {
            auto same = right.values.find(section);
            for (const auto& [key, value] : keys) {
                if (same == right.values.end() || !same->second.contains(key) || same->second.at(key) != value)
                    changed.insert(std::string(section).append(".").append(key));
            }
        }
    };
    compare(*this, other);
    compare(other, *this);
    return { changed.begin(), changed.end() };
}

std::string Settings::toIni() const
{
    std::string text;
    for (const auto& [section, keys] : this->values) {
        text += (text.empty() ? "[" : "\n[") + section + "]\n";
        for (const auto& [key, value] : keys) {
            text += key;
            text += '=';
            text += value;
            text += '\n';
        }
    }
    return text;
}

}
