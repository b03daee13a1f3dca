/// \file
/// The command `teams`.
#include "teams_command.h"

#include "metrics_page.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <iostream>
#include <map>
#include <sstream>
#include <string_view>

namespace fuchsialoom::ctl
{

static constexpr std::string_view seriesPrefix = "fuchsialoom_team_";
static constexpr std::array<std::string_view, 4> columns{"admitted_total", "over_quota_total", "cost_total", "credit"};
static constexpr int columnWidth = 18;

static void printRow(const std::string &vm, const std::string &team, const std::array<std::string, columns.size()> &values)
{
    std::cout << std::left << std::setw(columnWidth + 4) << vm << std::setw(columnWidth) << team;
    for (const std::string &value : values) {
        std::cout << std::setw(columnWidth) << value;
    }
    std::cout << '\n';
}

exit_code showTeams(const context &with, const words &arguments)
{
    std::array<std::string, columns.size()> heads{"ADMITTED", "OVER QUOTA", "COST", "CREDIT"};
    printRow("VM", "TEAM", heads);
    return forEachMetricsPage(with, [&arguments](const endpoint &vm, const std::string &page) {
        std::map<std::string, std::array<std::string, columns.size()>> teams;
        std::istringstream lines(page);
        std::string line;
        while (std::getline(lines, line)) {
            const std::optional<labelled_sample> sample = parseSample(line, "team");
            if (!sample || !sample->series.starts_with(seriesPrefix)) {
                continue;
            }
            const auto column = std::ranges::find(columns, std::string_view(sample->series).substr(seriesPrefix.size()));
            if (column != columns.end()) {
                teams[sample->label][static_cast<std::size_t>(column - columns.begin())] = sample->value;
            }
        }
        for (const auto &[team, values] : teams) {
            if (arguments.empty() || std::ranges::find(arguments, team) != arguments.end()) {
                printRow(toText(vm), team, values);
            }
        }
    });
}

} // namespace fuchsialoom::ctl
