/// \file
/// Where log lines go: easylogging++ on standard error, one line of key=value pairs for each event.
#pragma once

#include <string_view>

namespace fuchsialoom
{

enum class log_level {
    Quiet,
    Events,
};

/// Sets up the logger of this process. Call once, before any thread starts.
void configureLog(log_level level);

/// Writes one line, already in key=value form. Thread-safe.
void writeLogLine(std::string_view line);

} // namespace fuchsialoom
