/// \file
/// The mark of a request that one VM passes on to another. Only VMs can send it: it is read at the address for peers alone, and what a
/// caller sends under its name is dropped.
#pragma once

#include "fuchsialoom/http/header_list.h"
#include "fuchsialoom/support/time.h"

#include <cstdint>
#include <optional>

namespace fuchsialoom
{

struct passed_on_mark
{
    milliseconds age{0}; ///< time since the request reached its first VM
    std::uint32_t attempts = 1; ///< maximum number of targets that it may still be sent to
    bool isCharged = false; ///< its team has paid for it
    std::uint64_t configVersion = 0; ///< in force at its first VM; a VM with an older one declines the request
    std::optional<std::uint64_t> resumeAfter; ///< id of the last event relayed to the caller

    friend bool operator==(const passed_on_mark &, const passed_on_mark &) = default;
};

/// Replaces any mark in \p headers.
void writeMark(header_list &headers, const passed_on_mark &mark);

/// Takes the mark out of \p headers. \return nothing if there is none or it is malformed.
std::optional<passed_on_mark> takeMark(header_list &headers);

/// Answer of a VM that doesn't take the request: the request hasn't run and won't run there, and another VM may take it.
inline constexpr int statusDeclined = 421;

} // namespace fuchsialoom
