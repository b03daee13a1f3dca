/// \file
/// What a planner wants resident where.
#include "fuchsialoom/core/residency_goal.h"

#include <utility>

namespace fuchsialoom
{

residency_goal goalOf(const wanted_placement &wanted, std::set<model_id> inService)
{
    residency_goal goal;
    for (const wanted_target &target : wanted.targets) {
        goal.targets.emplace(target.target, target_placement{target.models, target.adapters});
    }
    goal.inService = std::move(inService);
    return goal;
}

} // namespace fuchsialoom
