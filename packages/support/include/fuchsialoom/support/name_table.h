/// \file
/// Names of enumerators. Each enum that crosses a process boundary or reaches a person has a table
/// made from its .def file, so that a name and its enumerator can't drift apart.
#pragma once

#include <array>
#include <cassert>
#include <concepts>
#include <cstddef>
#include <optional>
#include <string_view>

namespace fuchsialoom
{

template<typename Enum>
struct enum_name
{
    Enum value;
    std::string_view name;
};

/// Specialise with `static constexpr std::array<enum_name<Enum>, N> entries`.
template<typename Enum>
struct name_table;

template<typename Enum>
concept named_enum = requires
{
    name_table<Enum>::entries.size();
};

/// The name of \p value. \p value must be in the table.
template<named_enum Enum>
constexpr std::string_view nameOf(Enum value)
{
    for (const enum_name<Enum> &entry : name_table<Enum>::entries) {
        if (entry.value == value) {
            return entry.name;
        }
    }
    assert(false && "every enumerator is in its name table");
    return {};
}

/// The enumerator called \p name, or nothing.
template<named_enum Enum>
constexpr std::optional<Enum> parseName(std::string_view name)
{
    for (const enum_name<Enum> &entry : name_table<Enum>::entries) {
        if (entry.name == name) {
            return entry.value;
        }
    }
    return std::nullopt;
}

} // namespace fuchsialoom
