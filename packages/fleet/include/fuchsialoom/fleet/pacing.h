/// \file
/// Send intervals and suspect timeouts. Each timeout is a multiple of the interval that it monitors; `pacing_test` checks
/// this for fleets of all sizes.
#pragma once

#include "fuchsialoom/support/time.h"

#include <cstddef>
#include <cstdint>

namespace fuchsialoom::pacing
{

/// Interval between the full digests of a VM with \p receivers receivers.
milliseconds digestInterval(std::size_t receivers);

/// Minimum interval between the deltas of a VM with \p receivers receivers and \p capacity thousandths of a core.
milliseconds deltaInterval(std::size_t receivers, std::uint32_t capacity);

/// Relays send each other a delta, possibly empty, at least this often, since digests are less frequent in a large fleet.
inline constexpr milliseconds heartbeatInterval{150};

/// Suspect timeout of a sender that announced its next message within \p nextWithin: four messages in a row were lost.
milliseconds suspectTimeout(milliseconds nextWithin);

/// Minimum suspect timeout, which matters to VMs with few peers: a process may be paused for some tenths of a second.
inline constexpr milliseconds minSuspectTimeout{1000};

/// The in-flight counts and demand of a silent VM are kept for this time: its callers may still be served, and meanwhile its
/// members report again through another relay.
inline constexpr milliseconds stateRetention{2000};

} // namespace fuchsialoom::pacing
