/// \file
/// Waiting requests.
#include "fuchsialoom/gateway/waiting_rules.h"

#include <algorithm>

namespace fuchsialoom
{

/// From the send of a request to its first event at an engine that has room: half of them take 40 ms.
static constexpr milliseconds firstEventTime{60};
/// Callers give a stream up that shows no event for the longest of these.
static constexpr milliseconds streamPatience{2000};
static constexpr int patientObjectives = 4;
static constexpr int patientGaps = 8;
/// Refused so long before its caller would leave, a request can still come back; one that is sent later is
/// likely worked on for nobody.
static constexpr milliseconds leaveMargin{150};
/// Added to the rank of what is late already: an answer in time is worth more than three late ones.
static constexpr int lateRank = 100;

/// Callers' own clocks, and the way to a VM, differ by a few milliseconds.
static constexpr milliseconds samePatience{20};
/// The shortest answer that sends a caller back takes some milliseconds, and its pause as long; below, nothing is told.
static constexpr milliseconds leastWaited{150};
/// Callers of late: about so many.
static constexpr double memoryOfCallers = 32;
/// From this share on, a patience is the usual one. Under the heaviest load that was seen, four in ten had come back.
static constexpr double usualShare = 0.5;
/// Below this, it no longer is, and another one is looked for.
static constexpr double rareShare = 0.05;

void patience_meter::note(milliseconds patience)
{
    if (patience > m_usual + samePatience) {
        m_usual = patience;
        m_share = 0;
    }
    const double same = patience + samePatience >= m_usual ? 1 : 0;
    const bool wasRare = m_share < rareShare;
    m_share += (same - m_share) / memoryOfCallers;
    if (!wasRare && m_share < rareShare) {
        m_usual = patience;
        m_share = 0;
    }
}

milliseconds patience_meter::waitedBefore(milliseconds patience) const
{
    const milliseconds waited = m_usual - patience;
    return m_share >= usualShare && waited >= leastWaited ? waited : milliseconds(0);
}

waiting_bounds waitingBoundsOf(const route &of, instant arrivedAt, milliseconds patience, milliseconds waitedBefore)
{
    waiting_bounds bounds;
    bounds.patience = arrivedAt + patience;
    bounds.answerUntil = of.timeout > milliseconds(0) ? std::min(bounds.patience, arrivedAt + of.timeout) : bounds.patience;
    bounds.objectiveUntil = arrivedAt + std::max(milliseconds(0), of.objective - firstEventTime - waitedBefore);
    const milliseconds gives = std::max({streamPatience, patientObjectives * of.objective, patientGaps * of.gapObjective});
    const bool stream = of.kind == request_kind::Stream;
    bounds.queueUntil = stream ? std::min(bounds.answerUntil, arrivedAt + gives - leaveMargin) : bounds.answerUntil;
    return bounds;
}

int waitingPriority(int rank, bool late)
{
    return rank + (late ? lateRank : 0);
}

} // namespace fuchsialoom
