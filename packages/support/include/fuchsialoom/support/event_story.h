/// \file
/// Events of several VMs for a person: one line each, or one subject's story.
#pragma once

#include "fuchsialoom/support/timeline_event.h"

#include <string>
#include <string_view>
#include <vector>

namespace fuchsialoom
{

/// Orders by stamp, then VM, and drops what several VMs handed on twice.
std::vector<timeline_event> mergeEvents(std::vector<timeline_event> events);

/// One line an event: time since the first, VM, event, subject where it isn't \p subject, and values.
/// \p events are in order.
std::vector<std::string> renderStory(std::string_view subject, const std::vector<timeline_event> &events);

} // namespace fuchsialoom
