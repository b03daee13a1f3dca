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

waiting_bounds waitingBoundsOf(const route &of, instant arrivedAt, milliseconds patience)
{
    waiting_bounds bounds;
    bounds.patience = arrivedAt + patience;
    bounds.answerUntil = of.timeout > milliseconds(0) ? std::min(bounds.patience, arrivedAt + of.timeout) : bounds.patience;
    bounds.objectiveUntil = arrivedAt + std::max(milliseconds(0), of.objective - firstEventTime);
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
