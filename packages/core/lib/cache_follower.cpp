/// \file
/// Follows the cache events of one target.
#include "fuchsialoom/core/cache_follower.h"

#include <utility>

namespace fuchsialoom
{

cache_follower::cache_follower(target_id target)
    : m_target(std::move(target))
{
}

std::optional<cache_batch> cache_follower::take(const cache_page &page)
{
    if (!m_last) {
        return std::nullopt;
    }
    if (page.incarnation != m_incarnation || page.first > *m_last + 1) {
        m_last.reset();
        return std::nullopt;
    }
    cache_batch batch{m_target, m_incarnation, false, {}};
    for (const cache_event &event : page.events) {
        if (event.sequence <= *m_last) {
            continue;
        }
        if (event.sequence != *m_last + 1) {
            m_last.reset();
            break;
        }
        m_last = event.sequence;
        batch.events.push_back(event);
    }
    return batch.events.empty() ? std::nullopt : std::optional(std::move(batch));
}

cache_batch cache_follower::take(const cache_content &content)
{
    m_incarnation = content.incarnation;
    m_last = content.sequence;
    cache_batch batch{m_target, content.incarnation, true, {}};
    for (const content_hash block : content.blocks) {
        batch.events.push_back(cache_event{content.sequence, true, block});
    }
    if (batch.events.empty()) {
        // Carries the sequence number; no prompt has this hash.
        batch.events.push_back(cache_event{content.sequence, true, content_hash()});
    }
    return batch;
}

} // namespace fuchsialoom
