/// \file
/// Reads the quarantines that the fleet's stream holds, once, when a VM starts: VMs that knew them may all
/// be gone. Later ones come with the peers' digests.
///
/// What was trimmed before it was read is passed over: a notice stands alone, and the log keeps records
/// longer than a quarantine lasts.
#pragma once

#include "fuchsialoom/core/backoff.h"
#include "fuchsialoom/core/log_pages.h"
#include "fuchsialoom/core/requests.h"

#include <cstdint>
#include <map>
#include <variant>
#include <vector>

namespace fuchsialoom
{

/// Now, on both clocks of this VM.
struct quarantine_time
{
    instant now;
    wall_instant wall;
};

/// Answers read_quarantines.
struct quarantines_read
{
    record_page page;
};

using quarantine_reader_event = std::variant<quarantines_read, time_passed>;

/// Read the fleet's stream from \c from on, without waiting for more.
struct read_quarantines
{
    log_offset from;
};

using quarantine_reader_action = std::variant<read_quarantines, quarantine_learned>;

class quarantine_reader
{
public:
    explicit quarantine_reader(std::uint64_t seed);

    /// At most one read is under way. Every quarantine that still holds is learned, again only with a later end.
    std::vector<quarantine_reader_action> step(quarantine_time time, const quarantine_reader_event &event);

    /// Everything that stood in the stream when it was first read has been read.
    bool isFinished() const
    {
        return m_isFinished;
    }

    /// When to step next, where no read is under way.
    instant nextRead() const
    {
        return m_nextRead;
    }

private:
    void handle(const quarantines_read &event);
    void handle(const time_passed &event);
    void take(const log_entry &entry);
    void learn(const quarantine_notice &notice);

    backoff m_backoff;
    quarantine_time m_time{}; ///< of the step in progress
    log_offset m_from{1}; ///< of the next read, or of the one under way; only grows
    log_offset m_end; ///< where the stream ended at the first answer; none before
    instant m_nextRead{};
    bool m_isReading = false;
    bool m_isFinished = false;
    std::map<content_hash, wall_instant> m_until; ///< as learned; an end only moves later; bounded
    std::vector<quarantine_reader_action> m_actions; ///< of the step in progress; empty between steps
};

} // namespace fuchsialoom
