/// \file
/// The fold of the settings stream: the tree, and the ids of the latest changes, by which a change that
/// stands twice in the log is folded once.
///
/// Recognising repeats is part of the fold, not of the reader before it, because every VM must reach
/// the same tree from the same records, whether it read them all or started from a snapshot. So what is
/// remembered is bounded by a count of changes, never by time, and travels in the snapshot.
#pragma once

#include "fuchsialoom/settings/tree.h"

#include <cstddef>
#include <deque>
#include <map>
#include <span>

namespace fuchsialoom
{

class settings_fold
{
public:
    /// Ids remembered: a change repeated after this many others is judged anew. Part of the format of
    /// the log: VMs of different values would disagree.
    static constexpr std::size_t rememberedChanges = 1024;

    /// Folds \p change, found at \p offset. Offsets must come in order; one at or below applied()
    /// changes nothing, and so does a repeat of a remembered id.
    /// \return what became of the change where it first stood, or nothing for an offset passed before.
    std::optional<folded_change> apply(log_offset offset, const settings_change &change);

    /// Notes that the records up to \p offset hold no further change.
    void skipTo(log_offset offset);

    /// Starts over from a snapshot that covers the records up to \p through. \return false, changing
    /// nothing, where that is at or below applied() or the content can't be one of a fold.
    bool load(log_offset through, std::span<const setting_entry> entries, std::span<const folded_change> recent);

    /// What became of the change with this id, while it is remembered.
    const folded_change *find(const record_id &id) const;

    const settings_tree &tree() const
    {
        return m_tree;
    }

    /// The remembered changes, oldest first.
    const std::deque<folded_change> &recent() const
    {
        return m_recent;
    }

    log_offset applied() const
    {
        return m_tree.applied();
    }

private:
    void remember(folded_change folded);

    settings_tree m_tree;
    std::deque<folded_change> m_recent; ///< ordered by offset; at most rememberedChanges
    std::map<record_id, log_offset> m_offsets; ///< of m_recent, by id
};

} // namespace fuchsialoom
