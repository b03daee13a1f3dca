/// \file
/// Measures how fast a backlogged queue drains.
#include "fuchsialoom/core/drain_meter.h"

#include <cmath>

namespace fuchsialoom
{

/// What lies this many seconds of backlog in the past weighs 1/e.
static constexpr double memorySeconds = 5;

void drain_meter::advance(instant now)
{
    if (m_backlogged && now > m_at) {
        const double passed = std::chrono::duration<double>(now - m_at).count();
        const double kept = std::exp(-passed / memorySeconds);
        m_departures *= kept;
        m_backlogSeconds = m_backlogSeconds * kept + passed;
    }
    m_at = now;
}

void drain_meter::setBacklogged(instant now, bool backlogged)
{
    advance(now);
    m_backlogged = backlogged;
}

void drain_meter::departed(instant now)
{
    if (!m_backlogged) {
        return;
    }
    advance(now);
    m_departures += 1;
    m_lastDeparture = now;
    if (m_seen < fewest) {
        ++m_seen;
    }
}

std::optional<double> drain_meter::perSecond(instant now) const
{
    drain_meter current = *this;
    current.advance(now);
    if (current.m_seen < fewest || current.m_backlogSeconds <= 0) {
        return std::nullopt;
    }
    return current.m_departures / current.m_backlogSeconds;
}

} // namespace fuchsialoom
