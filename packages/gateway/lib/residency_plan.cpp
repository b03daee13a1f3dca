/// \file
/// From demand to the placement wanted, by the planner of the core package.
#include "fuchsialoom/gateway/residency_duty.h"

#include "fuchsialoom/core/placement.h"

namespace fuchsialoom
{

/// Weights have one version at a time here: a load fetches the newest.
static const version_id onlyVersion{"newest"};
static constexpr double bytesPerMegabyte = 1e6;
/// Streams that a model's engines are to have for each that runs or waits: arrivals come in clumps of
/// three, and a full engine makes requests wait behind it.
static constexpr double headroom = 1.35;
/// Streams that a load has to gain. A load is priced like the requests of one stream over a few
/// seconds; less than that comes back before it is earned.
static constexpr double leastGain = 2.0;
static constexpr double minutesOfDemand = 60; ///< the planner counts requests a minute, here of a second each

static placement_target targetOf(const pool_target &target, const std::vector<held_model> &held, const engine_traits &traits)
{
    placement_target made;
    made.target = target.listed.id;
    made.use = target.listed.leaving ? target_use::Draining : target_use::Serving;
    made.memoryBytes = static_cast<std::uint64_t>(traits.megabytes * bytesPerMegabyte);
    made.streams = target.listed.slots;
    for (const held_model &one : held) {
        for (const served_model &model : traits.models) {
            if (model.model == one.model) {
                // Adapters move too often for a plan; their room is kept beside their model.
                const double adapters = model.adapterMegabytes * traits.adapterSlots;
                made.models.push_back({one.model, onlyVersion, static_cast<std::uint64_t>(model.megabytes * bytesPerMegabyte)});
                made.memoryBytes -= static_cast<std::uint64_t>(model.adapters > 0 ? adapters / 3 * bytesPerMegabyte : 0);
            }
        }
    }
    return made;
}

wanted_placement planResidency(const service_id &service,
                               const engine_traits &traits,
                               const target_pool &pool,
                               const residency_keeper &keeper,
                               const demand_view &demand)
{
    placement_input input;
    input.domain = domain_id(service.text());
    input.options.moveCost = leastGain * minutesOfDemand;
    input.options.keepSwapRoom = false;
    for (const auto &[id, target] : pool.targets()) {
        const std::vector<held_model> *held = keeper.heldBy(id);
        if (target.listed.service == service && held) {
            input.targets.push_back(targetOf(target, *held, traits));
        }
    }
    for (const served_model &model : traits.models) {
        placement_model made;
        made.model = model.model;
        made.version = onlyVersion;
        made.bytes = static_cast<std::uint64_t>(model.megabytes * bytesPerMegabyte);
        const auto streams = demand.models().find(model.model);
        if (streams != demand.models().end()) {
            made.currentPerMinute = headroom * minutesOfDemand * streams->second.now;
            made.requestsPerMinute = headroom * minutesOfDemand * streams->second.remembered;
        }
        input.models.push_back(std::move(made));
    }
    return planPlacement(input).wanted;
}

} // namespace fuchsialoom
