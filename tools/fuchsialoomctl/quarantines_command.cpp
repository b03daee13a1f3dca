/// \file
/// The command `quarantines`.
#include "quarantines_command.h"

#include "metrics_page.h"

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace fuchsialoom::ctl
{

static constexpr std::string_view series = "fuchsialoom_quarantine_seconds_left";
static constexpr int columnWidth = 22;

static void printRow(const std::string &vm, const std::string &fingerprint, const std::string &secondsLeft)
{
    std::cout << std::left << std::setw(columnWidth) << vm << std::setw(columnWidth) << fingerprint << secondsLeft << '\n';
}

exit_code showQuarantines(const context &with, const words &arguments)
{
    printRow("VM", "FINGERPRINT", "SECONDS LEFT");
    return forEachMetricsPage(with, [&arguments](const endpoint &vm, const std::string &page) {
        std::istringstream lines(page);
        std::string line;
        while (std::getline(lines, line)) {
            const std::optional<labelled_sample> sample = parseSample(line, "fingerprint");
            const bool isAsked = sample && (arguments.empty() || std::ranges::find(arguments, sample->label) != arguments.end());
            if (isAsked && sample->series == series) {
                printRow(toText(vm), sample->label, sample->value);
            }
        }
    });
}

} // namespace fuchsialoom::ctl
