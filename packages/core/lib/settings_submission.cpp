/// \file
/// One operator's change on its way.
#include "fuchsialoom/core/settings_submission.h"

#include "fuchsialoom/support/hash.h"

#include <utility>

namespace fuchsialoom
{

settings_submission::settings_submission(record_id id, instant deadline, backoff_limits retry)
    : m_id(std::move(id))
    , m_deadline(deadline)
    , m_tracker(deadline, retry, hashOf(m_id.text()).value())
{
}

static submission_answer answerOf(const folded_change &folded)
{
    return folded.refusal ? submission_answer(*folded.refusal) : submission_answer(submission_accepted{folded.offset});
}

submission_decision settings_submission::next(instant now, const settings_replica &replica) const
{
    // Only the fold knows the verdict: an append that was taken may still be refused there.
    if (const folded_change *folded = replica.verdictOf(m_id)) {
        return submission_decision{false, {}, answerOf(*folded)};
    }
    const append_decision append = m_tracker.next(now);
    switch (append.step) {
    case append_step::Send:
        return submission_decision{true, {}, std::nullopt};
    case append_step::Wait:
        return submission_decision{false, append.until, std::nullopt};
    case append_step::NotTaken:
        return submission_decision{
            false,
            {},
            failure{error_kind::LogUnavailable, "change '" + m_id.text() + "' was not taken by the log", outcome::NotRun, seconds(1)}};
    case append_step::Taken:
        if (now < m_deadline) {
            return submission_decision{false, m_deadline, std::nullopt};
        }
        break;
    case append_step::Unknown:
        break;
    }
    const std::string detail =
        "change '" + m_id.text() + "' was sent to the log and not read back in time, it may be accepted or refused later";
    return submission_decision{false, {}, failure{error_kind::AppendUncertain, detail, outcome::Unknown, std::nullopt}};
}

} // namespace fuchsialoom
