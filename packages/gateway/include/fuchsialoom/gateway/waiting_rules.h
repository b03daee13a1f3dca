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

struct request_deadlines
{
    instant patience; ///< the caller waits no longer
    instant answerDeadline; ///< and the operator wants no answer later than this
    instant objectiveDeadline; ///< sent by then, it can still earn its full credit
    instant queueDeadline; ///< not sent by then, its caller leaves before the first event comes
};

/// For a request of \p of that came at \p arrivedAt from a caller who waits \p patience from then on.
request_deadlines computeDeadlines(const route &of, instant arrivedAt, milliseconds patience);

/// Priority of a stream that broke midway and goes on at another target: before all that haven't begun.
inline constexpr int resumedStreamPriority = -1;

/// The queue's priority, 0 first: by rank among those on time, then by rank among the late.
int queuePriority(int rank, bool late);

} // namespace fuchsialoom
