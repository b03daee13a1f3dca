/// \file
/// Look-up in a wanted placement.
#include "fuchsialoom/core/wanted_placement.h"

#include <algorithm>

namespace fuchsialoom
{

const wanted_target *wanted_placement::find(const target_id &target) const
{
    const auto found = std::ranges::lower_bound(targets, target, {}, &wanted_target::target);
    const bool named = found != targets.end() && found->target == target;
    return named ? &*found : nullptr;
}

} // namespace fuchsialoom
