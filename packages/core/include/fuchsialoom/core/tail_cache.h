/// \file
/// The latest records of a stream as this VM read them, kept to be relayed to peers that can't reach
/// the log. Bounded by bytes; always without a hole.
#pragma once

#include "fuchsialoom/support/ids.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <iterator>
#include <utility>
#include <vector>

namespace fuchsialoom
{

/// \c Entry has an `offset`.
template<typename Entry>
class tail_cache
{
public:
    explicit tail_cache(std::size_t mostBytes)
        : m_mostBytes(mostBytes)
    {
    }

    /// Keeps \p entry, of \p bytes. One that was kept before is passed over; one that does not follow
    /// at once starts the cache over. The newest entry stays whatever its size.
    void add(Entry entry, std::size_t bytes)
    {
        if (!m_kept.empty() && entry.offset <= m_kept.back().entry.offset) {
            return;
        }
        if (!m_kept.empty() && entry.offset.value() != m_kept.back().entry.offset.value() + 1) {
            m_kept.clear();
            m_bytes = 0;
        }
        m_kept.push_back(kept_entry{std::move(entry), bytes});
        m_bytes += bytes;
        while (m_bytes > m_mostBytes && m_kept.size() > 1) {
            m_bytes -= m_kept.front().bytes;
            m_kept.pop_front();
        }
    }

    /// The lowest offset kept; \p applied + 1 when there is none.
    log_offset first(log_offset applied) const
    {
        return m_kept.empty() ? log_offset(applied.value() + 1) : m_kept.front().entry.offset;
    }

    /// At most \p most entries from \p from on, and none above \p applied.
    std::vector<Entry> read(log_offset from, log_offset applied, std::size_t most) const
    {
        std::vector<Entry> entries;
        auto at = std::lower_bound(m_kept.begin(), m_kept.end(), from, [](const kept_entry &kept, log_offset offset) {
            return kept.entry.offset < offset;
        });
        for (; at != m_kept.end() && at->entry.offset <= applied && entries.size() < most; ++at) {
            entries.push_back(at->entry);
        }
        return entries;
    }

    std::size_t bytes() const
    {
        return m_bytes;
    }

private:
    struct kept_entry
    {
        Entry entry;
        std::size_t bytes;
    };

    std::size_t m_mostBytes;
    std::deque<kept_entry> m_kept; ///< consecutive offsets
    std::size_t m_bytes = 0; ///< of m_kept
};

} // namespace fuchsialoom
