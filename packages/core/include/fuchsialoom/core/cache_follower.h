/// \file
/// Follows the cache events of one target: what to ask for next, and what to hand on. A hole in the
/// sequence or a new process makes it ask for the whole content.
#pragma once

#include "fuchsialoom/core/targets.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace fuchsialoom
{

/// A target's answer to the question for the events after a sequence number.
struct cache_page
{
    incarnation_number incarnation;
    std::uint64_t first = 1; ///< lowest sequence number still kept
    std::vector<cache_event> events; ///< in order
};

/// A target's answer to the question for the whole content.
struct cache_content
{
    incarnation_number incarnation;
    std::uint64_t sequence = 0; ///< of the last event that it includes
    std::vector<content_hash> blocks;
};

class cache_follower
{
public:
    explicit cache_follower(target_id target);

    /// Ask for the whole content next, not for events.
    bool wantsContent() const
    {
        return !m_last.has_value();
    }

    /// Ask for events after this.
    std::uint64_t after() const
    {
        return m_last.value_or(0);
    }

    /// \return what is new, or nothing; after a gap the content is wanted.
    std::optional<cache_batch> take(const cache_page &page);
    cache_batch take(const cache_content &content);

private:
    const target_id m_target;
    incarnation_number m_incarnation;
    std::optional<std::uint64_t> m_last; ///< none until the content was read
};

} // namespace fuchsialoom
