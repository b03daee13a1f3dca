/// \file
/// The command `teams`: what each VM believes of the teams' quotas.
#pragma once

#include "context.h"

namespace fuchsialoom::ctl
{

/// Reads the metrics of the VMs named by --vm, which are the metrics addresses here. Arguments: the teams to show; all if empty.
exit_code showTeams(const context &with, const words &arguments);

} // namespace fuchsialoom::ctl
