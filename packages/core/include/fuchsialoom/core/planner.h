/// \file
/// What decides the content of a domain's targets, seen from the leader; and the simplest planner.
#pragma once

#include "fuchsialoom/core/fleet_homes.h"
#include "fuchsialoom/core/residency_goal.h"
#include "fuchsialoom/settings/tree.h"

#include <concepts>
#include <map>
#include <vector>

namespace fuchsialoom
{

/// A target of the domain, with what it was last seen to hold.
struct planner_target
{
    target_memory memory;
    target_placement resident;
    target_placement openLoads; ///< loads with an unknown outcome; they reserve memory until resolved
};

struct planner_input
{
    std::vector<planner_target> targets; ///< ordered by id
    std::vector<load_report> loads;
    std::map<model_id, double> requestsPerMinute; ///< demand, where known
    std::map<model_id, model_duty> duties; ///< a model that isn't named is kept here, with all its replicas
};

template<typename Planner>
concept placement_planner = requires(Planner planner, const settings_tree &settings, const planner_input &input)
{
    {
        planner.plan(settings, input)
        } -> std::same_as<residency_goal>;
};

/// A model in service, with what the settings say of it over all paths that name it.
struct model_in_service
{
    model_id model;
    version_id version;
    std::uint64_t bytes = 0; ///< 0: its memory isn't managed
    std::uint32_t replicas = 1;
    std::vector<resident_adapter> adapters;
};

/// Every model in service, ordered by id.
std::vector<model_in_service> modelsInService(const settings_tree &settings);

/// What \p input says of \p model, or that the domain keeps all its replicas.
model_duty dutyOf(const planner_input &input, const model_in_service &model);

/// Keeps the copies that the domain owes of each managed model in service: where they are already, then
/// first fit. What is homed elsewhere stays as long as its room isn't needed, and a last copy that is
/// still relied on goes before the loads of others.
class first_fit_planner
{
public:
    residency_goal plan(const settings_tree &settings, const planner_input &input) const;
};

static_assert(placement_planner<first_fit_planner>);

} // namespace fuchsialoom
