/// \file
/// What follows when a target sends nothing for a while. No I/O.
///
/// A target that works may be silent for seconds and go on. So its attempt is kept until another target has taken the
/// request over, and nothing is held against it once it sends again.
#pragma once

#include "fuchsialoom/gateway/retry_rules.h"
#include "fuchsialoom/gateway/routes.h"
#include "fuchsialoom/support/name_table.h"
#include "fuchsialoom/support/time.h"

namespace fuchsialoom
{

/// Whether a second attempt may be made beside one whose target is silent.
enum class takeover_verdict {
    Possible,
    NotNeeded, ///< the attempt isn't silent, or its successor isn't
    NotRepeatable, ///< the request must not run twice
    NoAttemptsLeft, ///< the route allows no further target
    NoBudget, ///< the shared retry budget is spent
    Suspected, ///< the request may crash its targets
    TooLate, ///< the caller would be gone, or this VM stopped, before the new attempt ends
    NoTarget, ///< no other target that isn't avoided has room
};

template<>
struct name_table<takeover_verdict>
{
    static constexpr auto entries = std::to_array<enum_name<takeover_verdict>>({
        {takeover_verdict::Possible, "possible"},
        {takeover_verdict::NotNeeded, "not-needed"},
        {takeover_verdict::NotRepeatable, "not-repeatable"},
        {takeover_verdict::NoAttemptsLeft, "no-attempts-left"},
        {takeover_verdict::NoBudget, "no-budget"},
        {takeover_verdict::Suspected, "suspected"},
        {takeover_verdict::TooLate, "too-late"},
        {takeover_verdict::NoTarget, "no-target"},
    });
};

struct takeover_facts
{
    bool budgetAllows = false; ///< the shared retry budget allows one more retry
    bool isSuspected = false; ///< held back, quarantined or on trial
    bool endsInTime = true; ///< a new attempt can still serve the caller
};

/// Judges all but the targets. \p history counts the attempts that have ended; one more is in progress.
takeover_verdict judgeTakeover(const attempt_history &history, const takeover_facts &facts);

/// From when on an attempt for \p matched counts as silent if no byte follows the one at \p lastByteAt.
instant stalledFrom(const route &matched, bool hasStarted, instant lastByteAt);

/// Targets that work are silent for up to 3 s. After this time, the connection may have been lost
/// without a reset: the attempt no longer counts as using a slot, and a stream may resume at the same target on another connection.
inline constexpr milliseconds longestPause{4000};

/// After this time, a successor that has refused nothing is taken to run the request, and the silent attempt is closed:
/// an engine must not go on with a request for 400 ms after another has it.
inline constexpr milliseconds engineHandoverTime{300};

} // namespace fuchsialoom
