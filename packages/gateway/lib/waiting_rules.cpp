/// \file
/// Waiting requests.
#include "fuchsialoom/gateway/waiting_rules.h"

#include <algorithm>

namespace fuchsialoom
{

/// From the send of a request to its first event at an engine that has room: half of them take 40 ms.
static constexpr milliseconds expectedFirstEventDelay{60};
/// Callers give a stream up that shows no event for the longest of these.
static constexpr milliseconds minStreamAbandonTime{2000};
static constexpr int streamAbandonObjectives = 4;
static constexpr int streamAbandonGaps = 8;
/// Refused so long before its caller would leave, a request can still come back; one that is sent later is
/// likely worked on for nobody.
static constexpr milliseconds retryMargin{150};
/// Added to the rank of what is late already: an answer in time is worth more than three late ones.
static constexpr int latePenalty = 100;

request_deadlines computeDeadlines(const route &of, instant arrivedAt, milliseconds patience)
{
    request_deadlines bounds;
    bounds.patience = arrivedAt + patience;
    bounds.answerDeadline = of.timeout > milliseconds(0) ? std::min(bounds.patience, arrivedAt + of.timeout) : bounds.patience;
    bounds.objectiveDeadline = arrivedAt + std::max(milliseconds(0), of.objective - expectedFirstEventDelay);
    const milliseconds abandonAfter = std::max({minStreamAbandonTime, streamAbandonObjectives * of.objective, streamAbandonGaps * of.gapObjective});
    const bool stream = of.kind == request_kind::Stream;
    bounds.queueDeadline = stream ? std::min(bounds.answerDeadline, arrivedAt + abandonAfter - retryMargin) : bounds.answerDeadline;
    return bounds;
}

int queuePriority(int rank, bool late)
{
    return rank + (late ? latePenalty : 0);
}

} // namespace fuchsialoom
