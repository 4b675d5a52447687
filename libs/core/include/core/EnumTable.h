#pragma once

#include <array>
#include <optional>
#include <string_view>
#include <utility>

namespace sequoia {

//! Maps the values of an enum class to their names.
template <typename E, std::size_t N> using EnumTable = std::array<std::pair<E, std::string_view>, N>;

template <typename E, std::size_t N> constexpr std::string_view nameOf(const EnumTable<E, N>& table, E value)
{
    for (const auto& [candidate, name] : table) {
        if (candidate == value)
            return name;
    }
    return "invalid";
}

template <typename E, std::size_t N>
constexpr std::optional<E> valueNamed(const EnumTable<E, N>& table, std::string_view name)
{
    for (const auto& [value, candidate] : table) {
        if (candidate == name)
            return value;
    }
    return std::nullopt;
}

}
