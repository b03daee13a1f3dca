/// \file
/// The schema as text for operators.
#pragma once

#include "fuchsialoom/settings/schema.h"

#include <string>

namespace fuchsialoom
{

/// The levels at which a setting may be set, for example "root, brand".
std::string levelNames(setting_levels levels);

/// The page docs/SETTINGS.md.
std::string schemaPage();

} // namespace fuchsialoom
