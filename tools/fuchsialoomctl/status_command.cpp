/// \file
/// The command `status`: all VMs in one table.
#include "status_command.h"

#include "admin_client.h"
#include "fuchsialoom/support/errors.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <iomanip>
#include <iostream>

namespace fuchsialoom::ctl
{

using json = nlohmann::json;

static constexpr std::size_t columns = 7;
static constexpr int columnGap = 2;
using table_row = std::array<std::string, columns>;

static void printTable(const std::vector<table_row> &rows)
{
    std::array<std::size_t, columns> widths{};
    for (const table_row &row : rows) {
        for (std::size_t column = 0; column < columns; ++column) {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    for (const table_row &row : rows) {
        for (std::size_t column = 0; column + 1 < columns; ++column) {
            std::cout << std::left << std::setw(static_cast<int>(widths[column]) + columnGap) << row[column];
        }
        std::cout << row.back() << '\n';
    }
}

static std::uint64_t appliedOf(const json &status)
{
    return status.value("settings_applied", std::uint64_t{0});
}

static std::string noteOf(const json &settings)
{
    std::string note;
    const auto add = [&](const char *text) {
        note += note.empty() ? text : std::string(", ") + text;
    };
    if (settings.value("gap", false)) {
        add("records are gone and no snapshot was found");
    }
    if (settings.value("log_behind", false)) {
        add("the log has lost records");
    }
    if (settings.value("records_skipped", std::uint64_t{0}) > 0) {
        add("skipped unknown records");
    }
    return note;
}

static table_row rowOf(const endpoint &vm, const std::optional<json> &status, std::uint64_t highest)
{
    if (!status) {
        return table_row{"?", "?", toText(vm), "unreachable", "", "", ""};
    }
    const json settings = status->value("settings", json::object());
    return table_row{status->value("vm", "?"),
                     status->value("domain", "?"),
                     toText(vm),
                     settings.value("freshness", "?"),
                     std::to_string(appliedOf(*status)),
                     std::to_string(highest - appliedOf(*status)),
                     noteOf(settings)};
}

static void printJson(const context &with, const std::vector<std::optional<json>> &statuses)
{
    json all = json::array();
    for (std::size_t index = 0; index < statuses.size(); ++index) {
        json item{{"admin", toText(with.vms[index])}, {"reachable", statuses[index].has_value()}};
        if (statuses[index]) {
            item["status"] = *statuses[index];
        }
        all.push_back(std::move(item));
    }
    std::cout << all.dump() << '\n';
}

exit_code showStatus(const context &with, const words &arguments)
{
    requireWords(arguments, 0, 0, "status");
    std::vector<std::optional<json>> statuses;
    std::uint64_t highest = 0;
    for (const endpoint &vm : with.vms) {
        statuses.push_back(askOne(vm, "/status"));
        highest = std::max(highest, statuses.back() ? appliedOf(*statuses.back()) : 0);
    }
    if (with.json) {
        printJson(with, statuses);
    } else {
        std::vector<table_row> rows{table_row{"VM", "DOMAIN", "ADMIN", "SETTINGS", "APPLIED", "BEHIND", "NOTE"}};
        for (std::size_t index = 0; index < statuses.size(); ++index) {
            rows.push_back(rowOf(with.vms[index], statuses[index], highest));
        }
        printTable(rows);
    }
    const bool allReached = std::all_of(statuses.begin(), statuses.end(), [](const std::optional<json> &status) {
        return status.has_value();
    });
    return allReached ? exit_code::Done : exit_code::Failed;
}

} // namespace fuchsialoom::ctl
