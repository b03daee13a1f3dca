/// \file
/// The only place where a node reads clocks.
#pragma once

#include "fuchsialoom/support/time.h"
#include "fuchsialoom/wire/log_client.h"

namespace fuchsialoom
{

inline instant monotonicNow()
{
    return instant(std::chrono::duration_cast<microseconds>(std::chrono::steady_clock::now().time_since_epoch()));
}

inline wall_instant wallNow()
{
    return std::chrono::time_point_cast<microseconds>(std::chrono::system_clock::now());
}

/// \p when on the clock that sockets and waits use.
inline real_deadline toRealDeadline(instant when)
{
    return real_deadline(std::chrono::duration_cast<real_deadline::duration>(when.time_since_epoch()));
}

} // namespace fuchsialoom
