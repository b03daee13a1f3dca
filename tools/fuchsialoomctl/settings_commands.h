/// \file
/// The commands about settings.
#pragma once

#include "context.h"

namespace fuchsialoom::ctl
{

/// `set PATH KEY=VALUE...`: all edits are one change.
exit_code setSettings(const context &with, const words &arguments);
/// `unset PATH KEY...`: the parent's values hold again.
exit_code unsetSettings(const context &with, const words &arguments);
/// `get [PATH] [KEY]`: with a key, what holds and where it comes from; else what is written there and beneath.
exit_code getSettings(const context &with, const words &arguments);
/// `diff FILE`: what `apply FILE` would change.
exit_code diffFile(const context &with, const words &arguments);
/// `apply FILE`: the whole file as one change, based on the versions just read.
exit_code applyFile(const context &with, const words &arguments);
/// `history [PATH]`: the latest changes with operator, offset and verdict.
exit_code showHistory(const context &with, const words &arguments);
/// `schema [--markdown]`: every setting there is.
exit_code showSchema(const context &with, const words &arguments);

} // namespace fuchsialoom::ctl
