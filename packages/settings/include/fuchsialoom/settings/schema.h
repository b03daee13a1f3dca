/// \file
/// The typed schema of the operators' settings, made from schema.def: which keys there are, their
/// types, ranges and defaults, and the levels of the tree at which each may be set.
#pragma once

#include "fuchsialoom/settings/path.h"
#include "fuchsialoom/support/name_table.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace fuchsialoom
{

enum class setting_key {
#define FUCHSIALOOM_SETTING(Enumerator, Key, Type, Default, Least, Most, Levels, Help) Enumerator,
#include "fuchsialoom/settings/schema.def"
};

template<>
struct name_table<setting_key>
{
    static constexpr auto entries = std::to_array<enum_name<setting_key>>({
#define FUCHSIALOOM_SETTING(Enumerator, Key, Type, Default, Least, Most, Levels, Help) {setting_key::Enumerator, Key},
#include "fuchsialoom/settings/schema.def"
    });
};

enum class setting_type {
    Boolean,
    Integer,
    Text,
    Choice,
};

/// The levels at which a key may be set, as a set of path_level bits.
enum class setting_levels : std::uint8_t {
    RootOnly = levelBit(path_level::Root),
    RootAndBrand = levelBit(path_level::Root) | levelBit(path_level::Brand),
    RootAndPool = levelBit(path_level::Root) | levelBit(path_level::Pool),
    RootOrModel = levelBit(path_level::Root) | levelBit(path_level::Model),
    RootOrAdapter = levelBit(path_level::Root) | levelBit(path_level::Adapter),
    InBrandTree = levelBit(path_level::Root) | levelBit(path_level::Brand) | levelBit(path_level::Service) | levelBit(path_level::Model)
        | levelBit(path_level::Adapter),
};

struct setting_definition
{
    setting_key key;
    std::string_view name;
    setting_type type;
    std::string_view defaultText;
    std::int64_t least;
    std::int64_t most;
    setting_levels levels;
    std::string_view help;
};

/// Every definition, in the order of schema.def.
const std::array<setting_definition, name_table<setting_key>::entries.size()> &settingDefinitions();

const setting_definition &definitionOf(setting_key key);

/// Checks \p text as a value of \p key at \p path.
/// \throws error(InvalidSetting) that names path, key, value and what is allowed.
void checkSetting(const setting_path &path, setting_key key, std::string_view text);

/// What values \p definition allows, for messages and pages, for example "an integer from 1 to 9".
std::string allowedValues(const setting_definition &definition);

} // namespace fuchsialoom
