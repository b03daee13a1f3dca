/// \file
/// Whether the log answers, as one VM sees it: when to ask again after a failure, and one event for
/// each change between available and not.
#pragma once

#include "fuchsialoom/core/backoff.h"
#include "fuchsialoom/support/time.h"
#include "fuchsialoom/support/timeline_event.h"

#include <cstdint>
#include <optional>

namespace fuchsialoom
{

class log_availability
{
public:
    log_availability(backoff_limits limits, std::uint64_t seed);

    /// The log answered at \p now a call that was due by \p due; later than that it counts as no answer.
    /// \return an event where this changes whether it is available.
    std::optional<timeline_event> answered(instant now, instant due = farFuture);
    /// The log did not answer. \return an event where it did before.
    std::optional<timeline_event> failed(instant now);

    bool isAvailable() const
    {
        return !m_downSince;
    }
    bool mayAsk(instant now) const
    {
        return now >= m_nextTry;
    }
    instant nextTry() const
    {
        return m_nextTry;
    }

private:
    backoff m_backoff;
    instant m_nextTry; ///< the past while the log is available
    std::optional<instant> m_downSince; ///< nothing while the log is available
};

} // namespace fuchsialoom
