/// \file
/// What every command gets, and how a run ends.
#pragma once

#include "fuchsialoom/core/targets.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace fuchsialoom::ctl
{

/// The exit status of the process.
enum class exit_code {
    Done = 0,
    Failed = 1, ///< refused, or nothing could be asked; nothing was changed
    Usage = 2,
    Unknown = 3, ///< a change was sent and may or may not be in force, now or later
};

using words = std::vector<std::string>;

struct context
{
    std::vector<endpoint> vms; ///< admin ports; at least one
    std::string operatorName;
    bool json = false; ///< output for machines
};

/// \throws error(InvalidOption) that names the word too many, or says that one is missing, unless \p arguments
/// are as many as \p form takes.
void requireWords(const words &arguments, std::size_t least, std::size_t most, const std::string &form);

/// A time as people read it: UTC, to the millisecond.
std::string utcText(std::int64_t unixMs);

} // namespace fuchsialoom::ctl
