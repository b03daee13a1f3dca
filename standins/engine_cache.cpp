/// \file
/// The prefix cache of an engine stand-in.
#include "engine_cache.h"

#include "fuchsialoom/support/hash.h"

#include <algorithm>

namespace fuchsialoom
{

using json = nlohmann::json;
using clock_type = std::chrono::steady_clock;

/// Prefixes as the VMs hash them: one more every so many bytes.
static constexpr std::size_t blockBytes = 256;
static constexpr std::size_t mostBlocksOfPrompt = 64;
static constexpr std::size_t keptChanges = 1000;

engine_cache::engine_cache(const standin_options &options, const engine_faults &faults)
    : m_capacity(static_cast<std::size_t>(options.number("cache_blocks", 1024)))
    , m_lag(options.number("cache_lag_ms", 50))
    , m_faults(faults)
{
}

void engine_cache::store(std::string_view prompt)
{
    const std::lock_guard lock(m_mutex);
    const std::size_t end = std::min(prompt.size() / blockBytes, mostBlocksOfPrompt);
    for (std::size_t block = 1; block <= end; ++block) {
        touch(hashOf(prompt.substr(0, block * blockBytes)));
    }
}

void engine_cache::touch(content_hash block)
{
    const auto found = std::find(m_blocks.begin(), m_blocks.end(), block);
    if (found != m_blocks.end()) {
        m_blocks.splice(m_blocks.end(), m_blocks, found);
        return;
    }
    m_blocks.push_back(block);
    publish(true, block);
    if (m_blocks.size() > m_capacity) {
        publish(false, m_blocks.front());
        m_blocks.pop_front();
    }
}

void engine_cache::publish(bool stored, content_hash block)
{
    const std::uint64_t sequence = ++m_lastSequence;
    const std::uint64_t gapEvery = m_faults.cacheGapEvery;
    if (gapEvery != 0 && sequence % gapEvery == 0) {
        return;
    }
    m_changes.push_back(cache_change{sequence, stored, block, clock_type::now() + m_lag});
    if (m_changes.size() > keptChanges) {
        m_changes.pop_front();
    }
}

json engine_cache::eventsAfter(std::uint64_t after) const
{
    const std::lock_guard lock(m_mutex);
    const clock_type::time_point now = clock_type::now();
    json events = json::array();
    for (const cache_change &change : m_changes) {
        if (change.sequence > after && change.publishedAt <= now) {
            events.push_back(json{{"sequence", change.sequence}, {"stored", change.stored}, {"block", change.block.value()}});
        }
    }
    const std::uint64_t first = m_changes.empty() ? m_lastSequence + 1 : m_changes.front().sequence;
    return json{{"first", first}, {"events", events}};
}

json engine_cache::content() const
{
    const std::lock_guard lock(m_mutex);
    json blocks = json::array();
    for (const content_hash block : m_blocks) {
        blocks.push_back(block.value());
    }
    return json{{"sequence", m_lastSequence}, {"blocks", blocks}};
}

} // namespace fuchsialoom
