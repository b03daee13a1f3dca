/// \file
/// One operator's change on its way: what to do next, and the one answer that may be given.
#pragma once

#include "fuchsialoom/core/append_tracker.h"
#include "fuchsialoom/core/settings_replica.h"

#include <optional>
#include <variant>

namespace fuchsialoom
{

struct submission_accepted
{
    log_offset version;
};

/// What an operator is told: accepted, or why not. A failure's `known` is NotRun only where the change
/// is not in force and never will be; Unknown where it may still come.
using submission_answer = std::variant<submission_accepted, failure>;

struct submission_decision
{
    bool send = false; ///< append the record now, then call sent()
    instant until; ///< else nothing to do before this, unless an answer or a folded record comes
    std::optional<submission_answer> answer; ///< final
};

class settings_submission
{
public:
    settings_submission(record_id id, instant deadline, backoff_limits retry);

    submission_decision next(instant now, const settings_replica &replica) const;

    void sent()
    {
        m_tracker.sent();
    }
    void answered(instant now, const append_result &result)
    {
        m_tracker.answered(now, result);
    }

private:
    record_id m_id;
    instant m_deadline;
    append_tracker m_tracker;
};

} // namespace fuchsialoom
