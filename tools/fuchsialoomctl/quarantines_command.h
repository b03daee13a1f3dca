/// \file
/// The command `quarantines`: which requests each VM refuses because they crashed targets.
#pragma once

#include "context.h"

namespace fuchsialoom::ctl
{

/// Reads the metrics of the VMs named by --vm, which are the metrics addresses here. Arguments: the fingerprints to show; all
/// if empty.
exit_code showQuarantines(const context &with, const words &arguments);

} // namespace fuchsialoom::ctl
