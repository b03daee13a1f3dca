/// \file
/// The command `status`.
#pragma once

#include "context.h"

namespace fuchsialoom::ctl
{

/// `status`: one row for each VM. Failed where one can't be reached.
exit_code showStatus(const context &with, const words &arguments);

} // namespace fuchsialoom::ctl
