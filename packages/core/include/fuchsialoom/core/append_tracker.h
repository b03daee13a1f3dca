/// \file
/// One append to the log whose answer may be lost: when to send, when to send again, and what may be
/// said of it. Every try carries the same record id, and readers fold an id once, so a repeat is
/// harmless; a try under a fresh id after one that may have landed would not be.
#pragma once

#include "fuchsialoom/core/backoff.h"
#include "fuchsialoom/core/log_pages.h"
#include "fuchsialoom/support/time.h"

#include <cstdint>
#include <optional>

namespace fuchsialoom
{

enum class append_step {
    Send, ///< send the record now, then call sent()
    Wait, ///< nothing to do before `until`, unless an answer or the record itself comes
    Taken, ///< it stands in the log
    NotTaken, ///< it does not stand in the log and never will
    Unknown, ///< it may stand in the log, now or later: only reading on tells
};

struct append_decision
{
    append_step step = append_step::Wait;
    instant until; ///< set when Wait
    log_offset offset; ///< set when Taken
};

class append_tracker
{
public:
    /// \p seed spreads the retries of many VMs.
    append_tracker(instant deadline, backoff_limits retry, std::uint64_t seed);

    append_decision next(instant now) const;

    /// A try was handed to the log.
    void sent();
    /// The answer to a try, or the lack of one as Uncertain. At most one try is in progress.
    void answered(instant now, const append_result &result);
    /// The record was read from the log.
    void seen(log_offset offset);

    /// Whether a try may take effect after this.
    bool mayLand() const
    {
        return m_mayHaveLanded || m_inProgress;
    }

private:
    instant m_deadline;
    backoff m_backoff;
    instant m_nextTry; ///< no try before this
    bool m_inProgress = false;
    bool m_mayHaveLanded = false; ///< once true it stays true: no later answer takes an earlier try back
    std::optional<log_offset> m_offset; ///< lowest place where the record is known to stand
};

} // namespace fuchsialoom
