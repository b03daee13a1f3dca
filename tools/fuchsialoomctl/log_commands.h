/// \file
/// The command `losses`, and `explain` from files: what the VMs' logs tell when the VMs themselves are gone.
#pragma once

#include "context.h"

namespace fuchsialoom::ctl
{

/// `losses FILE...`: how requests ended, by route and cause.
exit_code showLosses(const context &with, const words &arguments);

/// `explain ID FILE...`: every line of the files that names \p id, in order of time.
exit_code explainFromFiles(const std::string &id, const words &files);

} // namespace fuchsialoom::ctl
