/// \file
/// Commands that read decision logs from files.
#include "log_commands.h"

#include "fuchsialoom/gateway/loss_summary.h"
#include "fuchsialoom/support/errors.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <functional>
#include <iostream>
#include <string_view>
#include <vector>

namespace fuchsialoom::ctl
{

static void forEachRecord(const words &files, const std::function<void(const log_record &, const std::string &)> &take)
{
    for (const std::string &name : files) {
        std::ifstream file(name);
        if (!file) {
            throw error(error_kind::InvalidOption, "file '" + name + "' can't be read");
        }
        std::string line;
        while (std::getline(file, line)) {
            if (const std::optional<log_record> record = log_record::parse(line)) {
                take(*record, line);
            }
        }
    }
}

exit_code showLosses(const context &, const words &arguments)
{
    if (arguments.empty()) {
        throw error(error_kind::InvalidOption, "a file is missing; usage: losses FILE...");
    }
    loss_summary account;
    forEachRecord(arguments, [&account](const log_record &record, const std::string &) {
        account.add(record);
    });
    std::cout << account.toText();
    return account.routes().empty() ? exit_code::Failed : exit_code::Done;
}

exit_code explainFromFiles(const std::string &id, const words &files)
{
    std::vector<std::pair<milliseconds, std::string>> lines;
    forEachRecord(files, [&](const log_record &record, const std::string &line) {
        static constexpr std::array<std::string_view, 4> namingFields{"request", "target", "peer", "fingerprint"};
        const bool names = std::ranges::any_of(namingFields, [&](std::string_view field) {
            return record.value(field) == id;
        });
        if (names) {
            lines.emplace_back(record.wallTime(), line);
        }
    });
    // VMs' clocks differ a little; lines of one VM keep their order.
    std::ranges::stable_sort(lines, {}, &std::pair<milliseconds, std::string>::first);
    for (const auto &[at, line] : lines) {
        std::cout << line << '\n';
    }
    if (lines.empty()) {
        std::cerr << "fuchsialoomctl: no line names '" << id << "'\n";
    }
    return lines.empty() ? exit_code::Failed : exit_code::Done;
}

} // namespace fuchsialoom::ctl
