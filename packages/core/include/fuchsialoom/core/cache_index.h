/// \file
/// Which prompt prefixes each target's cache holds, from late and gappy events. A hint for the router:
/// a wrong entry costs time, never an answer.
#pragma once

#include "fuchsialoom/core/targets.h"

#include <deque>
#include <optional>
#include <span>
#include <unordered_map>
#include <unordered_set>

namespace fuchsialoom
{

class cache_index
{
public:
    /// Blocks kept of one target; beyond it the oldest are forgotten.
    static constexpr std::size_t mostBlocks = 8192;

    /// Takes in \p batch. \return false when a gap dropped the target's index, until its next resync.
    bool apply(const cache_batch &batch);

    void drop(const target_id &target);

    /// How many of \p prefixes, hashes of ever longer prefixes, \p target holds from the first on.
    /// Found by bisection: holes that evictions left may make it too low or too high.
    std::size_t matchedBlocks(const target_id &target, std::span<const content_hash> prefixes) const;

private:
    struct target_blocks
    {
        incarnation_number incarnation;
        std::optional<std::uint64_t> last; ///< sequence of the last event applied; none until a resync
        std::unordered_set<content_hash> held; ///< at most mostBlocks
        std::deque<content_hash> order; ///< what was stored, oldest first; may name blocks no longer held

        void store(content_hash block);
        void forgetOldest();
        void replace(const cache_batch &batch);
    };

    std::unordered_map<target_id, target_blocks> m_targets;
};

} // namespace fuchsialoom
