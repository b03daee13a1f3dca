/// \file
/// The settings of one process, from flags and environment variables. A flag goes before its variable.
#pragma once

#include "fuchsialoom/core/targets.h"
#include "fuchsialoom/support/ids.h"
#include "fuchsialoom/support/log_sink.h"
#include "fuchsialoom/support/time.h"
#include "fuchsialoom/wire/http_server.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsialoom
{

struct process_options
{
    vm_id vm;
    domain_id domain;
    endpoint listen;
    endpoint admin;
    endpoint peer;
    std::vector<endpoint> join; ///< peers known without the platform
    std::optional<endpoint> platform; ///< nothing: the embedded log, no platform
    std::uint32_t appendsPerMinute = 2000; ///< to the platform's log; the embedded log has no limit
    std::vector<listed_target> targets;
    std::size_t streams = 0;
    std::size_t refusalReserve = 0;
    std::optional<tls_files> tls; ///< nothing: plain HTTP towards callers
    milliseconds drain{0};
    log_level logLevel = log_level::Events;
    std::string config; ///< settings file of the users' platform; empty: no such platform
};

enum class options_request {
    Run,
    Help,
    Version,
    CheckSettings,
};

struct parsed_options
{
    options_request request = options_request::Run;
    process_options options;
};

/// \throws error(InvalidOption) with one line that names the setting, its value and what is allowed.
parsed_options parseProcessOptions(int argc, const char *const *argv);

/// The environment variable of \p flag: \p prefix and the flag in capitals with underscores.
std::string variableOf(std::string_view prefix, std::string_view flag);

/// \throws error(InvalidOption) that names \p flag, its value and what is allowed.
std::size_t parseCount(std::string_view flag, const std::string &text, std::size_t least, std::size_t most);

/// What --help prints.
std::string processHelp();

/// What --version prints.
std::string versionText();

} // namespace fuchsialoom
