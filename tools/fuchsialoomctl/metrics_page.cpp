/// \file
/// Reads the metrics of VMs.
#include "metrics_page.h"

#include "admin_client.h"

#include <iostream>

namespace fuchsialoom::ctl
{

std::optional<labelled_sample> parseSample(std::string_view line, std::string_view labelName)
{
    static constexpr std::string_view labelEnd = "\"} ";
    const std::string labelStart = "{" + std::string(labelName) + "=\"";
    const std::size_t label = line.find(labelStart);
    const std::size_t end = line.rfind(labelEnd);
    if (label == std::string_view::npos || end == std::string_view::npos || end < label + labelStart.size()) {
        return std::nullopt;
    }
    const std::size_t name = label + labelStart.size();
    return labelled_sample{
        std::string(line.substr(0, label)), std::string(line.substr(name, end - name)), std::string(line.substr(end + labelEnd.size()))};
}

exit_code forEachMetricsPage(const context &with, const std::function<void(const endpoint &vm, const std::string &page)> &onPage)
{
    bool allReached = true;
    for (const endpoint &vm : with.vms) {
        const std::optional<std::string> page = readPage(vm, "/metrics");
        if (page) {
            onPage(vm, *page);
        } else {
            std::cerr << "fuchsialoomctl: '" << toText(vm) << "' doesn't answer\n";
            allReached = false;
        }
    }
    return allReached ? exit_code::Done : exit_code::Failed;
}

} // namespace fuchsialoom::ctl
