/// \file
/// The typed schema of the operators' settings.
#include "fuchsialoom/settings/schema.h"

#include "fuchsialoom/support/errors.h"

#include <algorithm>
#include <cassert>
#include <charconv>
#include <span>

namespace fuchsialoom
{

static constexpr std::array<setting_definition, name_table<setting_key>::entries.size()> definitions{{
#define FUCHSIALOOM_SETTING(Enumerator, Key, Type, Default, Least, Most, Levels, Help) \
    setting_definition{setting_key::Enumerator, Key, setting_type::Type, Default, Least, Most, setting_levels::Levels, Help},
#include "fuchsialoom/settings/schema.def"
}};

const std::array<setting_definition, name_table<setting_key>::entries.size()> &settingDefinitions()
{
    return definitions;
}

const setting_definition &definitionOf(setting_key key)
{
    const setting_definition &found = definitions[static_cast<std::size_t>(key)];
    assert(found.key == key && "definitions stand in the order of their keys");
    return found;
}

static std::span<const std::string_view> choicesOf(setting_key key)
{
    static constexpr std::array<std::string_view, 2> serviceKinds{"model", "plain"};
    static constexpr std::array<std::string_view, 3> repeatable{"auto", "yes", "no"};
    return key == setting_key::ServiceKind ? std::span<const std::string_view>(serviceKinds)
                                           : std::span<const std::string_view>(repeatable);
}

static std::string joinChoices(setting_key key)
{
    std::string text = "one of";
    for (const std::string_view choice : choicesOf(key)) {
        text += ' ';
        text += choice;
    }
    return text;
}

std::string allowedValues(const setting_definition &definition)
{
    const std::string range = std::to_string(definition.least) + " to " + std::to_string(definition.most);
    switch (definition.type) {
    case setting_type::Boolean:
        return "true or false";
    case setting_type::Integer:
        return "an integer from " + range;
    case setting_type::Text:
        return "text of " + range + " letters";
    case setting_type::Choice:
        return joinChoices(definition.key);
    }
    return {};
}

static bool isIntegerInRange(std::string_view text, std::int64_t least, std::int64_t most)
{
    std::int64_t value = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool wholeText = code == std::errc() && end == text.data() + text.size();
    return wholeText && value >= least && value <= most;
}

static bool isPrintable(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](unsigned char letter) {
        return letter > 0x20 && letter < 0x7f;
    });
}

static bool isAllowed(const setting_definition &definition, std::string_view text)
{
    switch (definition.type) {
    case setting_type::Boolean:
        return text == "true" || text == "false";
    case setting_type::Integer:
        return isIntegerInRange(text, definition.least, definition.most);
    case setting_type::Text: {
        const auto length = static_cast<std::int64_t>(text.size());
        return length >= definition.least && length <= definition.most && isPrintable(text);
    }
    case setting_type::Choice: {
        const std::span<const std::string_view> choices = choicesOf(definition.key);
        return std::find(choices.begin(), choices.end(), text) != choices.end();
    }
    }
    return false;
}

void checkSetting(const setting_path &path, setting_key key, std::string_view text)
{
    const setting_definition &definition = definitionOf(key);
    const std::string where = "'" + path.text() + "' " + std::string(definition.name);
    if ((static_cast<std::uint8_t>(definition.levels) & levelBit(path.level())) == 0) {
        throw error(error_kind::InvalidSetting, where + " can't be set at level " + std::string(nameOf(path.level())));
    }
    if (!isAllowed(definition, text)) {
        throw error(error_kind::InvalidSetting, where + ": '" + std::string(text) + "' is not " + allowedValues(definition));
    }
}

} // namespace fuchsialoom
