/// \file
/// Placement inside one domain: from what its targets hold and can hold, the models that are homed
/// there, and their forecast demand, to the wanted placement. Constraints come first: memory, every
/// homed model resident, copies on distinct targets, replacements for what a drained target holds.
/// Then copies are added where each move of weights gains more than the move cost. The plan starts from
/// the present residency, so what needs no change stays where it is.
#pragma once

#include "fuchsialoom/core/targets.h"
#include "fuchsialoom/core/wanted_placement.h"
#include "fuchsialoom/support/ids.h"
#include "fuchsialoom/support/timeline_event.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace fuchsialoom
{

enum class target_use {
    Serving,
    Draining, ///< gets nothing; what it holds is to move elsewhere first
    Dead, ///< what it held is gone
};

struct placement_target
{
    target_id target;
    target_use use = target_use::Serving;
    std::uint64_t memoryBytes = 0;
    std::uint32_t streams = 1; ///< that run at full speed together
    std::vector<resident_model> models; ///< resident or on their way by an order that was sent
    std::vector<resident_adapter> adapters; ///< likewise
};

/// A model in service.
struct placement_model
{
    model_id model;
    version_id version; ///< that serves
    std::uint64_t bytes = 0;
    bool homed = true; ///< this domain is one of its homes
    std::uint32_t copiesMin = 1; ///< to keep here while homed
    double requestsPerMinute = 0; ///< forecast: remembers a burst; guards copies against eviction
    double currentPerMinute = 0; ///< right now; copies are added for this
    double secondsPerRequest = 1; ///< that one request holds a stream
};

struct placement_adapter
{
    model_id model;
    adapter_id adapter;
    version_id version;
    std::uint64_t bytes = 0;
    double requestsPerMinute = 0; ///< forecast
};

struct placement_options
{
    double moveCost = 10; ///< requests a minute that a move has to gain to be worth it
    std::size_t mostMoves = 64; ///< for demand, in one plan; constraints are not bounded by it
    std::size_t trialsPerMove = 24; ///< candidates whose gain is worked out exactly
    bool keepSwapRoom = true; ///< copies for demand leave one target room to load the largest model before an unload
};

struct placement_input
{
    domain_id domain;
    std::vector<placement_target> targets; ///< each target once, in any order
    std::vector<placement_model> models; ///< each model once, in any order
    std::vector<placement_adapter> adapters; ///< in any order
    placement_options options;
};

/// A copy added for demand, with what it gains in the fluid view of the plan.
struct placement_move
{
    target_id target;
    model_id model;
    std::vector<model_id> evicted; ///< copies that give way; each has others
    double gain = 0; ///< requests a minute, less what the evictions lose of the forecast; above the move cost

    friend bool operator==(const placement_move &, const placement_move &) = default;
};

struct missing_adapter
{
    model_id model;
    adapter_id adapter;

    friend auto operator<=>(const missing_adapter &, const missing_adapter &) = default;
};

struct placement_plan
{
    wanted_placement wanted;
    std::vector<placement_move> moves; ///< for demand, in the order in which they were found
    std::vector<model_id> unreachable; ///< sorted; homed models that memory has no room for
    std::vector<model_id> shortOfCopies; ///< sorted; reachable, but fewer copies than wanted
    std::vector<missing_adapter> missingAdapters; ///< sorted; asked for, but without room beside their model
    std::vector<timeline_event> events;
    double demandStreams = 0; ///< current demand
    double servedStreams = 0; ///< of it, what the wanted placement can serve

    friend bool operator==(const placement_plan &, const placement_plan &) = default;
};

/// Pure and independent of the order of the input's lists.
placement_plan planPlacement(const placement_input &input);

} // namespace fuchsialoom
