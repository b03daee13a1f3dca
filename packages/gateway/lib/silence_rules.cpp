/// \file
/// Decisions about attempts whose target is silent.
#include "fuchsialoom/gateway/silence_rules.h"

#include <algorithm>

namespace fuchsialoom
{

/// Healthy targets send the next event of a stream within 40 ms and the first within the objective; callers abandon a
/// stream after 2 s.
static constexpr milliseconds minStallTimeout{1000};
/// Stall timeout of requests that are not streams, as a multiple of the objective. The slowest 1% of requests takes
/// five times the mean, and the mean is a quarter of the objective.
static constexpr int stallTimeoutObjectives = 3;
/// Stall timeout of a started stream, as a multiple of the gap objective.
static constexpr int stallTimeoutGaps = 4;

takeover_verdict judgeTakeover(const attempt_history &history, const takeover_facts &facts)
{
    if (!history.repeatable) {
        return takeover_verdict::NotRepeatable;
    }
    if (history.targetsTried + 1 >= history.attempts || history.connectFailures >= maxConnectFailures) {
        return takeover_verdict::NoAttemptsLeft;
    }
    if (facts.isSuspected) {
        return takeover_verdict::Suspected;
    }
    if (!facts.endsInTime) {
        return takeover_verdict::TooLate;
    }
    return facts.budgetAllows ? takeover_verdict::Possible : takeover_verdict::NoBudget;
}

instant stalledFrom(const route &matched, bool hasStarted, instant lastByteAt)
{
    milliseconds timeout = stallTimeoutObjectives * matched.objective;
    if (matched.kind == request_kind::Stream) {
        timeout = hasStarted ? stallTimeoutGaps * matched.gapObjective : matched.objective;
    }
    return lastByteAt + std::max(minStallTimeout, timeout);
}

} // namespace fuchsialoom
