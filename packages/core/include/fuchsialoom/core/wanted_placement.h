/// \file
/// What the placement of a domain wants: which weights each target shall hold, and the loads that
/// lead there in order of urgency. The leader's executor turns it into orders; the ledger alone
/// decides when each order is safe to send.
#pragma once

#include "fuchsialoom/core/targets.h"
#include "fuchsialoom/support/ids.h"
#include "fuchsialoom/support/name_table.h"

#include <cstdint>
#include <vector>

namespace fuchsialoom
{

/// Why weights are loaded; a lower enumerator goes first.
enum class move_cause {
#define FUCHSIALOOM_MOVE_CAUSE(Enumerator, Name) Enumerator,
#include "fuchsialoom/core/move_causes.def"
};

template<>
struct name_table<move_cause>
{
    static constexpr auto entries = std::to_array<enum_name<move_cause>>({
#define FUCHSIALOOM_MOVE_CAUSE(Enumerator, Name) {move_cause::Enumerator, Name},
#include "fuchsialoom/core/move_causes.def"
    });
};

/// The end state wanted of one target. What it holds beyond that is to be unloaded, but never as the
/// last reachable copy of a model in service.
struct wanted_target
{
    target_id target;
    std::vector<resident_model> models; ///< sorted; empty while the target is drained
    std::vector<resident_adapter> adapters; ///< sorted; each beside its model

    friend bool operator==(const wanted_target &, const wanted_target &) = default;
};

/// One load that the wanted state asks for and the target doesn't hold yet.
struct wanted_load
{
    target_id target;
    model_id model;
    version_id version; ///< of the adapter where one is named, else of the model
    adapter_id adapter; ///< empty for a model's own weights
    std::uint64_t bytes = 0;
    move_cause cause = move_cause::Demand;

    friend bool operator==(const wanted_load &, const wanted_load &) = default;
};

struct wanted_placement
{
    std::vector<wanted_target> targets; ///< sorted by target; a target that is not named is left alone
    std::vector<wanted_load> loads; ///< most urgent first, models before their adapters

    /// The wanted state of \p target, or null where the plan doesn't name it.
    const wanted_target *find(const target_id &target) const;

    friend bool operator==(const wanted_placement &, const wanted_placement &) = default;
};

} // namespace fuchsialoom
