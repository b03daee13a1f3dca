/// \file
/// Deadlines and queue priorities of requests.
#include "fuchsialoom/gateway/waiting_rules.h"

#include <algorithm>

namespace fuchsialoom
{

/// From the send of a request to its first event, at an engine with room; the median is 40 ms.
static constexpr milliseconds expectedFirstEventDelay{60};
/// Callers abandon a stream without an event after the longest of these: a fixed time, and multiples of the objective
/// and of the gap objective.
static constexpr milliseconds minStreamAbandonTime{2000};
static constexpr int streamAbandonObjectives = 4;
static constexpr int streamAbandonGaps = 8;
/// Streams are refused this long before their callers would disconnect, so that they can still retry; a request sent
/// later than that is likely to run for a caller who is gone.
static constexpr milliseconds retryMargin{150};

request_deadlines computeDeadlines(const route &matched, instant arrivedAt, milliseconds callerTimeout)
{
    request_deadlines deadlines;
    deadlines.callerDeadline = arrivedAt + callerTimeout;
    deadlines.answerDeadline =
        matched.timeout > milliseconds(0) ? std::min(deadlines.callerDeadline, arrivedAt + matched.timeout) : deadlines.callerDeadline;
    deadlines.objectiveDeadline = arrivedAt + std::max(milliseconds(0), matched.objective - expectedFirstEventDelay);
    const milliseconds abandonAfter =
        std::max({minStreamAbandonTime, streamAbandonObjectives * matched.objective, streamAbandonGaps * matched.gapObjective});
    const bool isStream = matched.kind == request_kind::Stream;
    deadlines.queueDeadline =
        isStream ? std::min(deadlines.answerDeadline, arrivedAt + abandonAfter - retryMargin) : deadlines.answerDeadline;
    return deadlines;
}

} // namespace fuchsialoom
