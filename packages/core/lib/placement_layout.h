/// \file
/// The placement's working state: which serving target holds which model, and what is left of memory
/// and streams.
#pragma once

#include "fuchsialoom/core/demand_flow.h"
#include "fuchsialoom/core/placement.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace fuchsialoom
{

/// How far evictions may go.
enum class eviction_floor {
    CopiesMin, ///< leave every homed model the copies that it should have
    LastCopy, ///< leave every homed model one copy
};

class placement_layout
{
public:
    /// Both lists sorted by id; \p targets only the serving ones. Takes over what they hold. A target
    /// that holds more than its memory starts overcommitted: see relieveOvercommit().
    placement_layout(const std::vector<placement_target> &targets, const std::vector<placement_model> &models);

    std::size_t targetCount() const
    {
        return m_memory.size();
    }

    std::size_t modelCount() const
    {
        return m_models.size();
    }

    bool holds(std::size_t target, std::size_t model) const
    {
        return m_holds[target][model];
    }

    std::size_t copies(std::size_t model) const
    {
        return m_copies[model];
    }

    /// Below zero only before relieveOvercommit().
    std::int64_t freeBytes(std::size_t target) const
    {
        return m_memory[target] - m_used[target];
    }

    std::int64_t memoryBytes(std::size_t target) const
    {
        return m_memory[target];
    }

    std::int64_t bytesOf(std::size_t model) const;

    /// Of the demand right now.
    const demand_flow &flow() const
    {
        return m_flow;
    }

    /// Of the forecast; largest only after recomputeFlow().
    const demand_flow &forecastFlow() const
    {
        return m_forecastFlow;
    }

    void maximise()
    {
        m_flow.maximise();
    }

    /// Works out both flows anew. Many flows are largest; these depend on nothing but who holds what,
    /// so a later plan that starts from here sees the same and finds nothing more to gain.
    void recomputeFlows();

    void add(std::size_t target, std::size_t model);
    void remove(std::size_t target, std::size_t model);

    /// Takes \p bytes for an adapter, or gives them back where negative.
    void useBytes(std::size_t target, std::int64_t bytes);

    /// Drops copies from targets that hold more than their memory, those with other copies first.
    void relieveOvercommit();

    /// Copies to evict from \p target so that \p bytes fit, least used first; nothing where even all
    /// that may go isn't enough.
    std::optional<std::vector<std::size_t>>
    evictionsFor(std::size_t target, std::int64_t bytes, std::optional<std::size_t> spared, eviction_floor floor) const;

    /// The target on which a further copy of \p model does best without eviction, or nothing.
    std::optional<std::size_t> roomiestFor(std::size_t model) const;

    /// Adds a copy of \p model, evicting others down to \p floor where that is needed.
    bool place(std::size_t model, eviction_floor floor);

    /// Rearranges everything so that every homed model has one copy, with as few changes as the search
    /// finds. \return false, with nothing changed, where it found no way.
    bool repack();

private:
    bool mayEvict(std::size_t model, eviction_floor floor) const;
    std::vector<std::size_t> heldByUse(std::size_t target) const;

    const std::vector<placement_model> &m_models;
    std::vector<milli_streams> m_demands; ///< by model, right now
    std::vector<milli_streams> m_forecasts; ///< by model
    std::vector<milli_streams> m_capacities; ///< by target
    std::vector<std::int64_t> m_memory; ///< by target
    std::vector<std::int64_t> m_used; ///< by target: models held and adapters counted
    std::vector<std::vector<bool>> m_holds; ///< by target, by model
    std::vector<std::size_t> m_copies; ///< by model: how many targets hold it
    demand_flow m_flow; ///< connected exactly where m_holds is set
    demand_flow m_forecastFlow; ///< likewise
};

/// Adds copies for demand until none gains more than the move cost, or the bound is met.
std::vector<placement_move> improve(placement_layout &layout,
                                    const std::vector<placement_target> &targets,
                                    const std::vector<placement_model> &models,
                                    const placement_options &options);

} // namespace fuchsialoom
