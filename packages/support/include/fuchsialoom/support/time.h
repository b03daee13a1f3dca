/// \file
/// Time as the decision core sees it. The core never reads a clock: every instant comes in with an
/// event, so tests run under virtual time and a time line can be replayed.
#pragma once

#include <chrono>

namespace fuchsialoom
{

using microseconds = std::chrono::microseconds;
using milliseconds = std::chrono::milliseconds;
using seconds = std::chrono::seconds;

/// Monotonic time of one VM, in microseconds since an arbitrary start. It has no now() on purpose.
struct monotonic_clock
{
    using duration = microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic_clock, duration>;
    static constexpr bool is_steady = true;
};

/// A point in one VM's monotonic time. Deadlines are stored as instants, never as durations.
using instant = monotonic_clock::time_point;

/// A point in wall-clock time (UTC), comparable between VMs only up to their clock skew.
using wall_instant = std::chrono::time_point<std::chrono::system_clock, microseconds>;

/// Later than every deadline.
inline constexpr instant farFuture = instant::max();

} // namespace fuchsialoom
