/// \file
/// The commands `timeline` and `explain`: the events of all VMs.
#pragma once

#include "context.h"

namespace fuchsialoom::ctl
{

/// `timeline [--since=SECONDS]`: one key=value line an event, in order.
exit_code showTimeline(const context &with, const words &arguments);

/// `explain ID`: the story of one request, order, target or setting.
exit_code explain(const context &with, const words &arguments);

} // namespace fuchsialoom::ctl
