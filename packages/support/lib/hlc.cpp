/// \file
/// Hybrid logical clock.
#include "fuchsialoom/support/hlc.h"

#include <algorithm>

namespace fuchsialoom
{

hlc_stamp hybrid_clock::next(wall_instant now)
{
    const std::int64_t wall = now.time_since_epoch().count();
    if (wall > m_last.wallMicros) {
        m_last = hlc_stamp{wall, 0};
    } else {
        ++m_last.counter;
    }
    return m_last;
}

void hybrid_clock::observe(hlc_stamp remote)
{
    m_last = std::max(m_last, remote);
}

} // namespace fuchsialoom
