/// \file
/// The schema as text for operators.
#include "fuchsialoom/settings/schema_page.h"

namespace fuchsialoom
{

static constexpr const char *pageHead = R"(# Settings

Made by `fuchsialoomctl schema --markdown` from the schema; a unit test compares them. These are the
operators' settings, kept in the platform's log. The settings of one process are in `fuchsialoomd --help`.

A value holds for everything beneath its path unless a child overrides it. Paths are `/` (the root),
`brand/B`, `brand/B/service/S`, `brand/B/service/S/model/M`, `brand/B/service/S/model/M/adapter/A` and
`pool/P`. `model-bytes` and `model-version` must be equal wherever a model is named: change all places in
one change (`fuchsialoomctl apply FILE`).

| setting | values | default | may be set at | meaning |
| --- | --- | --- | --- | --- |
)";

std::string levelNames(setting_levels levels)
{
    std::string text;
    for (const enum_name<path_level> &level : name_table<path_level>::entries) {
        if ((static_cast<std::uint8_t>(levels) & levelBit(level.value)) != 0) {
            text += text.empty() ? "" : ", ";
            text += level.name;
        }
    }
    return text;
}

std::string schemaPage()
{
    std::string page = pageHead;
    for (const setting_definition &definition : settingDefinitions()) {
        page += "| `" + std::string(definition.name) + "` | " + allowedValues(definition) + " | `" + std::string(definition.defaultText)
            + "` | " + levelNames(definition.levels) + " | " + std::string(definition.help) + " |\n";
    }
    return page;
}

} // namespace fuchsialoom
