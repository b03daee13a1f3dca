/// \file
/// How long the log keeps the records of one stream, as one reader of it can tell: from records that it
/// saw go, and from the age of those still kept. A lower bound, never more.
#pragma once

#include "fuchsialoom/support/ids.h"
#include "fuchsialoom/support/time.h"

#include <deque>
#include <optional>

namespace fuchsialoom
{

class retention_meter
{
public:
    /// A record of \p offset, written at \p written, was read. Not every record is remembered: only those
    /// \p spacing apart.
    void recordSeen(log_offset offset, wall_instant written, milliseconds spacing);

    /// At \p now the log keeps the records from \p first on.
    void logSeen(log_offset first, wall_instant now);

    /// How long records are kept at least. Nothing where that can't be told, or nothing is gone yet.
    std::optional<milliseconds> kept(wall_instant now) const;

private:
    struct sample
    {
        log_offset offset;
        wall_instant written;
    };

    std::deque<sample> m_samples; ///< still kept when the log was last seen; oldest first; bounded
    std::optional<wall_instant> m_seenAt; ///< when the log was last seen
    std::optional<milliseconds> m_kept; ///< by the latest record that was seen to go
    bool m_hasTrimmed = false;
};

} // namespace fuchsialoom
