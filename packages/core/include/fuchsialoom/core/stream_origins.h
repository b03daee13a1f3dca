/// \file
/// Which targets' streams continue the text that the caller has. Two runs of one request may generate
/// different text, so a stream found at a target may be used only where it began from, or produced,
/// what was delivered.
#pragma once

#include "fuchsialoom/support/ids.h"

#include <cstdint>
#include <set>

namespace fuchsialoom
{

/// What a stream of this request, found running at a target, is to this request's answer.
enum class found_stream {
    Usable, ///< continues what the caller has
    Stale, ///< of an earlier attempt of this worker, left behind: cancel it
    Foreign, ///< not of this worker and not what the caller has: leave it alone
};

class stream_origins
{
public:
    /// The request is about to be started at \p target from what the caller has now.
    void attempted(const target_id &target)
    {
        m_consistent.insert(target);
        m_ever.insert(target);
    }

    /// A token from \p target's stream was delivered: the streams at other targets fell behind.
    void delivered(const target_id &target)
    {
        if (m_consistent.size() != 1 || !m_consistent.contains(target)) {
            m_consistent = {target};
        }
    }

    /// To be asked before attempted(): what a stream that runs at \p target already is.
    found_stream judge(const target_id &target, std::uint64_t deliveredTokens) const
    {
        if (deliveredTokens == 0 || m_consistent.contains(target)) {
            return found_stream::Usable;
        }
        return m_ever.contains(target) ? found_stream::Stale : found_stream::Foreign;
    }

private:
    std::set<target_id> m_consistent; ///< targets whose streams, if any, continue what the caller has
    std::set<target_id> m_ever; ///< a superset of m_consistent
};

} // namespace fuchsialoom
