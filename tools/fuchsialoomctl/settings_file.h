/// \file
/// Files of settings: JSON, or lines of `PATH KEY=VALUE ...`.
#pragma once

#include "fuchsialoom/settings/change.h"

#include <string>
#include <vector>

namespace fuchsialoom::ctl
{

/// Reads \p text. JSON is an array of {"path", "key", "value"|null}, or an object with that array as
/// "settings", as `get --json` prints it; null removes a setting. In lines, `#` begins a comment, the
/// root is `/`, and `-KEY` removes a setting. The edits have no basedOn.
/// \throws error(InvalidSetting) that names the line or entry at fault.
std::vector<setting_edit> parseSettingsFile(const std::string &text);

/// `KEY=VALUE`, or `-KEY` for a removal, at \p path. \throws error(InvalidSetting).
setting_edit parseEdit(const setting_path &path, const std::string &word);

/// \throws error(InvalidSetting) where there is no such key.
setting_key parseKey(const std::string &name);

} // namespace fuchsialoom::ctl
