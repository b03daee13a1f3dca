/// \file
/// Reads one stream in order: what to ask for next, from the log or from a peer that relays it, and
/// what to hand to the fold. Records come to the fold once and without a hole; where the records next
/// in line are gone, the reader looks for a snapshot that closes the gap.
///
/// It does not look for repeats of a record id: which ids a reader has seen depends on where it
/// started, and folds must not. A fold that cares does so itself, see settings/fold.h.
#pragma once

#include "fuchsialoom/core/log_pages.h"

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>

namespace fuchsialoom
{

/// Where pages come from: the log, or the peer of that index.
enum class tail_id : std::uint32_t {
    Log = 0,
};

template<typename Fold>
concept stream_fold = requires(Fold fold, const Fold &constFold, const log_entry &entry, log_offset first)
{
    /// The highest offset that the state covers; never decreases.
    {
        constFold.applied()
        } -> std::same_as<log_offset>;
    /// Takes in the record after applied(); applied() is its offset from then on.
    fold.take(entry);
    /// Starts over from \c entry if it is a usable snapshot that covers more than applied() and every
    /// record below \c first. \return whether it did.
    {
        fold.load(entry, first)
        } -> std::same_as<bool>;
};

struct follow_result
{
    std::size_t taken = 0; ///< records handed to the fold
    bool loaded = false; ///< a snapshot was loaded
    bool gapFound = false; ///< the next records are gone from the source
};

template<stream_fold Fold>
class log_follower
{
public:
    explicit log_follower(Fold fold = Fold())
        : m_fold(std::move(fold))
    {
    }

    /// The offset to ask \p source for.
    log_offset nextFrom(tail_id source) const
    {
        const auto seek = m_seeks.find(source);
        return seek == m_seeks.end() ? following(m_fold.applied()) : seek->second;
    }

    /// Takes in what \p source answered when asked for nextFrom(source).
    follow_result take(tail_id source, const record_page &page)
    {
        follow_result result;
        if (page.status != read_status::Ok) {
            return result;
        }
        noteHead(source, page.next);
        if (page.first > following(m_fold.applied())) {
            result.gapFound = m_seeks.try_emplace(source, page.first).second;
            result.loaded = seek(source, page);
            return result;
        }
        endGap(source);
        result.taken = foldInOrder(page);
        if (result.taken > 0) {
            m_seeks.clear();
        }
        return result;
    }

    /// A gap is open: no source has yet shown a snapshot that closes it.
    bool isSeeking() const
    {
        return !m_seeks.empty();
    }

    /// The log's head lies below what was applied: it lost records that it had shown.
    bool isLogBehind() const
    {
        return m_isLogBehind;
    }

    /// The highest offset that any source has shown.
    log_offset head() const
    {
        return m_head;
    }

    /// A peer says that it has applied \p offset.
    void notePeer(log_offset offset)
    {
        m_head = std::max(m_head, offset);
    }

    Fold &fold()
    {
        return m_fold;
    }
    const Fold &fold() const
    {
        return m_fold;
    }

private:
    static log_offset following(log_offset offset)
    {
        return log_offset(offset.value() + 1);
    }

    void noteHead(tail_id source, log_offset next)
    {
        const log_offset shown(next.isNone() ? 0 : next.value() - 1);
        m_head = std::max(m_head, shown);
        if (source == tail_id::Log) {
            m_isLogBehind = shown < m_fold.applied();
        }
    }

    std::size_t foldInOrder(const record_page &page)
    {
        std::size_t taken = 0;
        for (const log_entry &entry : page.entries) {
            if (entry.offset <= m_fold.applied()) {
                continue;
            }
            if (entry.offset != following(m_fold.applied())) {
                break;
            }
            m_fold.take(entry);
            ++taken;
        }
        return taken;
    }

    /// Records between a snapshot's cover and its own place are still to be folded, so after a load
    /// the reading goes on from what the snapshot covers, not from where it stood.
    bool seek(tail_id source, const record_page &page)
    {
        log_offset &from = m_seeks[source];
        from = std::max(from, page.first);
        for (const log_entry &entry : page.entries) {
            if (entry.offset < from) {
                continue;
            }
            if (m_fold.load(entry, page.first)) {
                m_seeks.clear();
                return true;
            }
            from = following(entry.offset);
        }
        return false;
    }

    /// \p source has the next records. Where that is the log, no peer's gap matters any more.
    void endGap(tail_id source)
    {
        if (source == tail_id::Log) {
            m_seeks.clear();
        } else {
            m_seeks.erase(source);
        }
    }

    Fold m_fold;
    /// For each source with a gap: where to look for a snapshot next. Empty once one of them got on.
    std::map<tail_id, log_offset> m_seeks;
    log_offset m_head; ///< never decreases
    bool m_isLogBehind = false;
};

} // namespace fuchsialoom
