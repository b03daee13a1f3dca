/// \file
/// Reads the metrics of VMs, for commands that show them side by side.
#pragma once

#include "context.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace fuchsialoom::ctl
{

/// A sample with one label.
struct labelled_sample
{
    std::string series;
    std::string label; ///< value of the label
    std::string value;
};

/// Nothing for a line that isn't a sample whose one label is called \p labelName.
std::optional<labelled_sample> parseSample(std::string_view line, std::string_view labelName);

/// Calls \p onPage with the metrics page of each VM named by --vm, which are the metrics addresses here; names those that
/// don't answer.
exit_code forEachMetricsPage(const context &with, const std::function<void(const endpoint &vm, const std::string &page)> &onPage);

} // namespace fuchsialoom::ctl
