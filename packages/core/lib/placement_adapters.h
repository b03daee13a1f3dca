/// \file
/// Which adapters stand beside the copies of their models.
#pragma once

#include "placement_layout.h"

#include <set>

namespace fuchsialoom
{

class adapter_layout
{
public:
    /// All lists sorted by id. References are kept.
    adapter_layout(placement_layout &layout,
                   const std::vector<placement_target> &targets,
                   const std::vector<placement_model> &models,
                   const std::vector<placement_adapter> &adapters,
                   double moveCost);

    /// Drops adapters whose model has gone, keeps those that are resident and asked for, sees to one copy
    /// of each that is asked for, then to further copies where each is worth a move. \return whether a
    /// copy of a model had to give way.
    bool settle();

    /// Gives back the memory of all adapters; the next settle() goes by what is held now as by what is
    /// resident.
    void release();

    /// Keeps resident adapters that nobody asks for where memory is left.
    void keepIdle();

    bool holds(std::size_t target, std::size_t adapter) const
    {
        return m_held[target].contains(adapter);
    }

    /// Adapters asked for that found no room beside a copy of their model.
    std::vector<missing_adapter> missing() const;

private:
    bool isAsked(std::size_t adapter) const;
    bool add(std::size_t target, std::size_t adapter);
    void dropOrphans();
    void keepResident(bool asked);
    bool seeToOneCopy(std::size_t adapter);
    void spread(std::size_t adapter);
    std::size_t copies(std::size_t adapter) const;
    std::vector<std::size_t> hostsOf(std::size_t adapter) const;

    placement_layout &m_layout;
    const std::vector<placement_adapter> &m_adapters;
    double m_moveCost;
    std::vector<std::optional<std::size_t>> m_model; ///< by adapter; nothing where the model isn't in service
    std::vector<std::size_t> m_byDemand; ///< adapters, the most asked for first
    std::vector<std::set<std::size_t>> m_resident; ///< by target, and models not in service left out
    std::vector<std::set<std::size_t>> m_held; ///< by target; their bytes are counted in the layout
};

} // namespace fuchsialoom
