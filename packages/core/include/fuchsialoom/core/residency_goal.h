/// \file
/// What a planner wants resident where in one failure domain, and the part of the settings that the
/// domain's leader works by.
#pragma once

#include "fuchsialoom/core/targets.h"
#include "fuchsialoom/core/wanted_placement.h"
#include "fuchsialoom/support/ids.h"
#include "fuchsialoom/support/time.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace fuchsialoom
{

/// A target as the memory ledger needs it.
struct target_memory
{
    target_id id;
    std::uint64_t capacityBytes = 0;
    bool checksFencing = false;
    bool honoursExpiry = false;

    friend bool operator==(const target_memory &, const target_memory &) = default;
};

struct target_placement
{
    std::vector<resident_model> models;
    std::vector<resident_adapter> adapters;

    friend bool operator==(const target_placement &, const target_placement &) = default;
};

/// The wanted content of the targets of a domain. A target that is not named is left alone.
struct residency_goal
{
    std::map<target_id, target_placement> targets;
    /// Models in service: their last reachable copy is never unloaded, wanted here or not.
    std::set<model_id> inService;

    friend bool operator==(const residency_goal &, const residency_goal &) = default;
};

/// The goal that \p wanted names, with the models \p inService.
residency_goal goalOf(const wanted_placement &wanted, std::set<model_id> inService);

/// Durations of the settings in force, and the domain's share of the weight store.
struct leader_settings
{
    milliseconds lease{6000};
    milliseconds orderExpiry{30000};
    std::uint32_t weightSlots = 3;
    std::uint32_t weightLoadsPerMinute = 60;

    friend bool operator==(const leader_settings &, const leader_settings &) = default;
};

} // namespace fuchsialoom
