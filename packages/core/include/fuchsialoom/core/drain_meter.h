/// \file
/// Measures how fast a backlogged queue drains.
#pragma once

#include "fuchsialoom/support/time.h"

#include <cstdint>
#include <optional>

namespace fuchsialoom
{

/// Departures per second of backlog, the recent past weighing most. Time without a backlog doesn't
/// count: then departures follow arrivals and say nothing of what the targets could take.
class drain_meter
{
public:
    void setBacklogged(instant now, bool backlogged);

    /// An item left for a target. Counts only during a backlog.
    void departed(instant now);

    /// Departures per second, or nothing before enough were seen.
    std::optional<double> perSecond(instant now) const;

    /// Whether an item departed lately. An old rate may tell when to come back, but must not refuse:
    /// what is refused at once leaves no backlog in which a better rate could be measured.
    bool isFresh(instant now) const
    {
        return m_seen > 0 && now - m_lastDeparture < freshFor;
    }

private:
    static constexpr seconds freshFor{10};
    static constexpr std::uint32_t fewest = 3;

    void advance(instant now);

    bool m_backlogged = false;
    instant m_at{}; ///< up to when the sums below are true
    double m_departures = 0; ///< decayed
    double m_backlogSeconds = 0; ///< decayed
    instant m_lastDeparture{}; ///< counts only once m_seen does
    std::uint32_t m_seen = 0; ///< stops at `fewest`
};

} // namespace fuchsialoom
