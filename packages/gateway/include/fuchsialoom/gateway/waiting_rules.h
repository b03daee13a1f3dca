/// \file
/// How long a request may wait for a target, and in which order waiting requests go. Pure.
///
/// Under more load than the targets take, first come first served makes every request late: each waits as
/// long as the backlog lasts. So those that can still meet their objective go first, and what is late already
/// goes behind them until its caller would leave. At twice the load that a target takes, that serves most of
/// what it takes on time instead of next to nothing (waiting_rules_test plays both).
#pragma once

#include "fuchsialoom/gateway/routes.h"

namespace fuchsialoom
{

struct waiting_bounds
{
    instant patience; ///< the caller waits no longer
    instant answerUntil; ///< and the operator wants no answer later than this
    instant objectiveUntil; ///< sent by then, it can still earn its full credit
    instant queueUntil; ///< not sent by then, its caller leaves before the first event comes
};

/// For a request of \p of that came at \p arrivedAt from a caller who waits \p patience from then on, and who has
/// waited \p waitedBefore for an earlier try of the same.
waiting_bounds waitingBoundsOf(const route &of, instant arrivedAt, milliseconds patience, milliseconds waitedBefore = milliseconds(0));

/// Tells callers of one route who come back from those who ask for the first time: most callers of a route wait equally
/// long, and who comes back has that much less left. An objective counts from the first try, so who comes back after it
/// can't be served on time any more; taken for new, such requests stood before others that could. Where callers of a
/// route wait differently long, nothing is told.
class patience_meter
{
public:
    void note(milliseconds patience);

    /// What a caller with \p patience left has waited before; 0 where that can't be told.
    milliseconds waitedBefore(milliseconds patience) const;

private:
    milliseconds m_usual{0}; ///< the longest that was seen often
    double m_share = 0; ///< of late callers, those that wait so long
};

/// Priority of a stream that broke midway and goes on at another target: before all that haven't begun.
inline constexpr int continuedPriority = -1;

/// The queue's priority, 0 first: by rank among those on time, then by rank among the late.
int waitingPriority(int rank, bool late);

} // namespace fuchsialoom
