/// \file
/// Whether a VM's settings are the latest.
#include "fuchsialoom/core/settings_freshness.h"

#include <algorithm>

namespace fuchsialoom
{

settings_freshness::settings_freshness(milliseconds staleAfter)
    : m_staleAfter(staleAfter)
{
}

void settings_freshness::logAnswered(instant now, log_offset head, log_offset applied)
{
    if (applied == head) {
        m_current = std::max(m_current, std::optional(now));
        m_isCaughtUp = true;
    }
}

void settings_freshness::peersAnswered(log_offset highest, log_offset applied)
{
    // A peer that has nothing either proves nothing.
    if (!highest.isNone() && applied >= highest) {
        m_isCaughtUp = true;
    }
}

freshness settings_freshness::state(instant now) const
{
    if (!m_isCaughtUp) {
        return freshness::Starting;
    }
    return m_current && now - *m_current <= m_staleAfter ? freshness::Current : freshness::Stale;
}

} // namespace fuchsialoom
