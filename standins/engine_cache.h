/// \file
/// The prefix cache of an engine stand-in: which prompt prefixes it holds, and the events that tell of
/// it, late and with gaps.
#pragma once

#include "engine_faults.h"
#include "roles.h"

#include "fuchsialoom/support/ids.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <mutex>
#include <string_view>

namespace fuchsialoom
{

/// Thread-safe. Options: cache_blocks (most that fit), cache_lag_ms (age of an event when it is published).
class engine_cache
{
public:
    engine_cache(const standin_options &options, const engine_faults &faults);

    /// Stores the prefixes of \p prompt, and evicts the least recently used.
    void store(std::string_view prompt);

    /// The members of GET /cache-events: the events past \p after.
    nlohmann::json eventsAfter(std::uint64_t after) const;
    /// The members of GET /cache.
    nlohmann::json content() const;

private:
    struct cache_change
    {
        std::uint64_t sequence = 0;
        bool stored = true;
        content_hash block;
        std::chrono::steady_clock::time_point publishedAt;
    };

    void touch(content_hash block);
    void publish(bool stored, content_hash block);

    const std::size_t m_capacity;
    const std::chrono::milliseconds m_lag;
    const engine_faults &m_faults;
    mutable std::mutex m_mutex;
    std::list<content_hash> m_blocks; ///< guarded by m_mutex; least recently used first
    std::deque<cache_change> m_changes; ///< guarded by m_mutex; ordered by sequence, with holes where events got lost
    std::uint64_t m_lastSequence = 0; ///< guarded by m_mutex
};

} // namespace fuchsialoom
