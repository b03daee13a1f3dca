/// \file
/// Which prompt prefixes each target's cache holds.
#include "fuchsialoom/core/cache_index.h"

#include <algorithm>

namespace fuchsialoom
{

/// Evictions leave dead names in the order; twice the bound is kept before they are swept.
static constexpr std::size_t mostOrderEntries = 2 * cache_index::mostBlocks;

void cache_index::target_blocks::forgetOldest()
{
    held.erase(order.front());
    order.pop_front();
}

void cache_index::target_blocks::store(content_hash block)
{
    if (!held.insert(block).second) {
        return;
    }
    order.push_back(block);
    while (held.size() > mostBlocks || order.size() > mostOrderEntries) {
        forgetOldest();
    }
}

void cache_index::target_blocks::replace(const cache_batch &batch)
{
    held.clear();
    order.clear();
    incarnation = batch.incarnation;
    last = 0;
    for (const cache_event &event : batch.events) {
        store(event.block);
        last = std::max(*last, event.sequence);
    }
}

bool cache_index::apply(const cache_batch &batch)
{
    target_blocks &blocks = m_targets[batch.target];
    if (batch.incarnation < blocks.incarnation) {
        return true;
    }
    if (batch.resync) {
        blocks.replace(batch);
        return true;
    }
    if (batch.incarnation > blocks.incarnation) {
        // A new process starts with an empty cache, and numbers its events from 1.
        blocks = target_blocks{};
        blocks.incarnation = batch.incarnation;
        blocks.last = 0;
    }
    for (const cache_event &event : batch.events) {
        if (!blocks.last) {
            return true;
        }
        if (event.sequence <= *blocks.last) {
            continue;
        }
        if (event.sequence != *blocks.last + 1) {
            const incarnation_number incarnation = blocks.incarnation;
            blocks = target_blocks{};
            blocks.incarnation = incarnation;
            return false;
        }
        blocks.last = event.sequence;
        if (event.stored) {
            blocks.store(event.block);
        } else {
            blocks.held.erase(event.block);
        }
    }
    return true;
}

void cache_index::drop(const target_id &target)
{
    m_targets.erase(target);
}

std::size_t cache_index::matchedBlocks(const target_id &target, std::span<const content_hash> prefixes) const
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end() || found->second.held.empty()) {
        return 0;
    }
    std::size_t low = 0;
    std::size_t high = prefixes.size();
    while (low < high) {
        const std::size_t middle = low + (high - low) / 2;
        if (found->second.held.contains(prefixes[middle])) {
            low = middle + 1;
        } else {
            high = middle;
        }
    }
    return low;
}

} // namespace fuchsialoom
