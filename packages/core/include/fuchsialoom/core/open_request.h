/// \file
/// A request between its arrival and its final answer.
#pragma once

#include "fuchsialoom/core/requests.h"
#include "fuchsialoom/core/router.h"

#include <optional>
#include <vector>

namespace fuchsialoom
{

enum class request_phase {
    Claiming, ///< its claim was placed and not decided
    Queued, ///< waits for a target
    Running, ///< an attempt is in progress
    Held, ///< an attempt ended; waits to learn whether its target died, or for the peers to be told
};

struct open_request
{
    incoming_request request;
    stream_mark stream = 0; ///< of the request's stream, whoever started it
    request_phase phase = request_phase::Queued;
    attempt_number attempt; ///< the latest; grows by one with each start, not with a resume
    target_id target; ///< of the latest attempt
    incarnation_number incarnation; ///< of the target when the attempt started; none when unknown
    endpoint address; ///< of the target
    std::vector<tried_target> tried; ///< earlier attempts; no attempt goes to the same process again
    attempt_end lastEnd = attempt_end::NotSent; ///< of the latest attempt that ended
    /// Bytes of an attempt may have reached a target that didn't say it refused. Once set, never
    /// cleared: the request is never again reported as not run, nor repeated unless repeatable.
    bool mayHaveReached = false;
    claim_number claim; ///< of the latest claim placed for it
    bool claimed = false; ///< holds a won claim that is neither settled nor voided
    /// The run goes on for the claim's outcome alone; nobody waits for an answer, no attempt starts.
    bool callerGone = false;
    /// The attempt ended and still counts at its target, because it may be resumed there. Only while Held.
    bool keepsPlace = false;
    /// The death of the latest attempt's target process was counted against the request.
    bool accused = false;
    bool provedAlive = false; ///< its target process answered after the connection broke; reset by each end
    std::uint64_t deliveredTokens = 0; ///< when the latest attempt ended
    bool resumed = false; ///< the attempt was taken up again at least once
    std::uint64_t resumedAt = 0; ///< tokens delivered when the attempt was last resumed
    instant brokeAt; ///< when the connection of the latest attempt broke; only while verdictBy is set
    std::optional<instant> verdictBy; ///< waits until then to learn whether the target died
    std::size_t unjudged = 0; ///< earlier attempts that broke at targets not known to live or to be dead
    std::optional<instant> spreadBy; ///< waits until then for the peers to learn of its accusation
    std::optional<target_id> leaseAsked; ///< only while Queued: waits for the answer, starts nowhere else
    instant leaseAnswerBy; ///< no answer by then counts as not granted; only while leaseAsked is set
    bool holdsLease = false; ///< of `target`; only while Running

    /// Whether \p process, which answers at the target, may be the one at which the latest attempt was. Where
    /// that one isn't known, it may: a process that restarted since says that it has no such stream.
    bool isAt(incarnation_number process) const
    {
        return !process.isNone() && (incarnation.isNone() || incarnation == process);
    }

    bool mayRepeat() const
    {
        return request.repeatable || !mayHaveReached;
    }
};

} // namespace fuchsialoom
