/// \file
/// Deadlines and queue priorities of requests that wait for a target. Pure functions.
///
/// Under overload, first come, first served makes every request late, since each waits for the whole backlog. So
/// requests that can still meet their objective go first; late ones follow, until their callers would disconnect. At
/// twice a target's capacity, most of what it serves is then on time instead of next to nothing (waiting_rules_test
/// simulates both). Among those that can still meet it, and among the late ones, teams take turns, so that a team that
/// sends many times its usual delays itself and not the others; within a team the most urgent rank goes first.
#pragma once

#include "fuchsialoom/gateway/routes.h"

namespace fuchsialoom
{

struct request_deadlines
{
    instant callerDeadline; ///< the caller's timeout expires
    instant answerDeadline; ///< callerDeadline, or the route's timeout if that is earlier
    instant objectiveDeadline; ///< latest send that can still meet the objective
    instant queueDeadline; ///< latest send; after it, a stream's caller would disconnect before the first event
};

/// For a request of route \p matched that arrived at \p arrivedAt and that its caller abandons \p callerTimeout later.
request_deadlines computeDeadlines(const route &matched, instant arrivedAt, milliseconds callerTimeout);

/// Bands of the queue, in the order in which they are served.
enum class waiting_band {
    ResumedStream, ///< a broken stream that is to resume at another target
    OnTime, ///< can still meet its objective
    Late,
};

inline int bandNumber(waiting_band band)
{
    return static_cast<int>(band);
}

} // namespace fuchsialoom
