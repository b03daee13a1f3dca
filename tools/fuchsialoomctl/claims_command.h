/// \file
/// The command `claims`.
#pragma once

#include "context.h"

namespace fuchsialoom::ctl
{

/// Lists the claims whose outcome is unknown, as all VMs that the named ones know tell them. Failed where a
/// VM that owns some of them may not have answered.
exit_code showClaims(const context &with, const words &arguments);

} // namespace fuchsialoom::ctl
