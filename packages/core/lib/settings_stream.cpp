/// \file
/// The settings stream.
#include "fuchsialoom/core/settings_stream.h"

#include <utility>

namespace fuchsialoom
{

/// A snapshot can only cover what stood before it.
static const settings_snapshot *snapshotOf(const log_entry &entry)
{
    const settings_snapshot *found = entry.record ? std::get_if<settings_snapshot>(&entry.record->body) : nullptr;
    return found != nullptr && found->through < entry.offset ? found : nullptr;
}

void settings_stream::take(const log_entry &entry)
{
    const settings_change *change = entry.record ? std::get_if<settings_change>(&entry.record->body) : nullptr;
    if (change != nullptr) {
        if (std::optional<folded_change> folded = m_fold.apply(entry.offset, *change)) {
            m_news.emplace_back(change_seen{entry.offset, std::move(*folded), change->edits});
        }
        return;
    }
    m_fold.skipTo(entry.offset);
    if (const settings_snapshot *snapshot = snapshotOf(entry)) {
        m_news.emplace_back(snapshot_seen{entry.offset, snapshot->through, snapshot->writtenAt, false});
    } else {
        m_news.emplace_back(record_passed{entry.offset});
    }
}

bool settings_stream::load(const log_entry &entry, log_offset first)
{
    const settings_snapshot *snapshot = snapshotOf(entry);
    if (snapshot == nullptr || snapshot->through.value() + 1 < first.value()) {
        return false;
    }
    if (!m_fold.load(snapshot->through, snapshot->entries, snapshot->recent)) {
        return false;
    }
    m_news.emplace_back(snapshot_seen{entry.offset, snapshot->through, snapshot->writtenAt, true});
    return true;
}

settings_snapshot settings_stream::snapshot(wall_instant now) const
{
    return settings_snapshot{
        m_fold.applied(), m_fold.tree().entries(), std::vector<folded_change>(m_fold.recent().begin(), m_fold.recent().end()), now};
}

std::vector<settings_news> settings_stream::takeNews()
{
    return std::exchange(m_news, {});
}

} // namespace fuchsialoom
