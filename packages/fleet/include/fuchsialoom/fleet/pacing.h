/// \file
/// How often a VM tells others, and after what silence it counts as gone. Every silence is measured against the
/// interval that it watches; `pacing_test` checks that for fleets of all sizes.
#pragma once

#include "fuchsialoom/support/time.h"

#include <cstddef>
#include <cstdint>

namespace fuchsialoom::pacing
{

/// From one whole word to the next, for a VM with so many receivers.
milliseconds digestInterval(std::size_t receivers);

/// From one note to the next at the least, for a VM with so many receivers and \p capacity thousandths of a core.
milliseconds deltaInterval(std::size_t receivers, std::uint32_t capacity);

/// Relays send each other a note at least so often, be it empty: whole words are longer apart in a large fleet.
inline constexpr milliseconds heartbeatInterval{150};

/// A sender that announced its next word within \p due counts as gone after this: four words in a row were lost.
milliseconds suspectTimeout(milliseconds nextWithin);

/// What a VM with a few peers needs at the least before it takes another for gone: a process may stand still for some
/// tenths of a second.
inline constexpr milliseconds minSuspectTimeout{1000};

/// What a VM that went silent had in flight and asked for is kept so long: its callers may still be served, and its
/// members tell anew by another relay meanwhile.
inline constexpr milliseconds stateRetention{2000};

} // namespace fuchsialoom::pacing
