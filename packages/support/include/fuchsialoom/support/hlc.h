/// \file
/// Hybrid logical clock: stamps that respect causality between VMs and stay close to wall time, so
/// that the events of all VMs merge into one time line.
#pragma once

#include "fuchsialoom/support/time.h"

#include <compare>
#include <cstdint>

namespace fuchsialoom
{

struct hlc_stamp
{
    std::int64_t wallMicros = 0; ///< microseconds since the Unix epoch
    std::uint32_t counter = 0; ///< orders stamps of the same microsecond

    friend auto operator<=>(const hlc_stamp &, const hlc_stamp &) = default;
};

/// Not thread-safe; the owner serialises.
class hybrid_clock
{
public:
    /// A stamp later than every stamp given or seen before.
    hlc_stamp next(wall_instant now);

    /// Takes in a stamp from another VM, so that later stamps here follow it.
    void observe(hlc_stamp remote);

private:
    hlc_stamp m_last; ///< never decreases
};

} // namespace fuchsialoom
