/// \file
/// The settings stream as a log_follower hands it on: changes to the fold, snapshots to those who
/// start or fell behind the trimmed head, and what became of each record to whoever asks.
#pragma once

#include "fuchsialoom/core/log_pages.h"
#include "fuchsialoom/settings/fold.h"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace fuchsialoom
{

/// A change stood at `offset`; `folded.offset` is lower when it is a repeat.
struct change_seen
{
    log_offset offset;
    folded_change folded;
    std::vector<setting_edit> edits;
};

/// A snapshot stood at `offset`, or was loaded from there.
struct snapshot_seen
{
    log_offset offset;
    log_offset through;
    wall_instant writtenAt;
    bool loaded = false;
};

/// The record at `offset` was unknown, corrupt, or of another stream's kind.
struct record_passed
{
    log_offset offset;
};

using settings_news = std::variant<change_seen, snapshot_seen, record_passed>;

/// A model of stream_fold.
class settings_stream
{
public:
    log_offset applied() const
    {
        return m_fold.applied();
    }
    void take(const log_entry &entry);
    bool load(const log_entry &entry, log_offset first);

    const settings_fold &fold() const
    {
        return m_fold;
    }

    /// A snapshot of everything applied.
    settings_snapshot snapshot(wall_instant now) const;

    /// What happened since the last call, in order.
    std::vector<settings_news> takeNews();

private:
    settings_fold m_fold;
    std::vector<settings_news> m_news;
};

} // namespace fuchsialoom
