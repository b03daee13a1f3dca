/// \file
/// From demand to the placement wanted, by the planner of the core package.
#include "fuchsialoom/gateway/residency_duty.h"

#include "fuchsialoom/core/placement.h"

#include <algorithm>
#include <cmath>

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

/// Seconds that a plan looks ahead on a rise: a load takes about one, its order and the news of it half a one.
static constexpr double lookAhead = 1.5;
/// A resident model is worth so many streams more than one that isn't, so that places don't change hands
/// for a request or two.
static constexpr double residentBonus = 2.0;

/// A model that needs more streams than this doesn't yield: the quiet ones need less than one, and the bonus.
static constexpr double mostYielded = 6.0;

/// Streams that a place is worth less for each that is yielded at the same engine.
static constexpr double placeBeside = 1.0;

/// Streams that \p model is to have places for.
static double wantedStreams(const model_id &model, const demand_view &demand)
{
    const auto found = demand.models().find(model);
    return found == demand.models().end() ? 0 : headroom * demand_view::projected(found->second, lookAhead);
}

static bool holds(const placement_target &target, const model_id &model)
{
    return std::any_of(target.models.begin(), target.models.end(), [&model](const resident_model &one) {
        return one.model == model;
    });
}

static std::size_t copiesOf(const model_id &model, const std::vector<placement_target> &targets)
{
    return static_cast<std::size_t>(std::count_if(targets.begin(), targets.end(), [&model](const placement_target &target) {
        return target.use == target_use::Serving && holds(target, model);
    }));
}

/// Where engines are too few to hold every model and the copies that the busy ones need, the models asked
/// for least lose their claim to a place: they are loaded when they are asked for again. A place of a busy
/// model serves tens of streams, that of a quiet one less than one.
static void
yieldPlaces(placement_input &input, const engine_traits &traits, const demand_view &demand, const std::map<model_id, double> &unserved)
{
    double largest = 1;
    for (const served_model &model : traits.models) {
        largest = std::max(largest, model.megabytes);
    }
    const auto serving =
        static_cast<std::size_t>(std::count_if(input.targets.begin(), input.targets.end(), [](const placement_target &target) {
            return target.use == target_use::Serving;
        }));
    const std::size_t places = serving * static_cast<std::size_t>(traits.megabytes / largest);
    std::size_t needed = 0;
    for (const placement_model &model : input.models) {
        needed += std::max<std::size_t>(1, static_cast<std::size_t>(std::ceil(wantedStreams(model.model, demand) / traits.slots)));
    }
    if (needed <= places) {
        return;
    }
    std::map<model_id, double> needs;
    for (const placement_model &model : input.models) {
        const auto waits = unserved.find(model.model);
        const bool resident = copiesOf(model.model, input.targets) > 0;
        needs[model.model] =
            wantedStreams(model.model, demand) + (resident ? residentBonus : 0) + (waits == unserved.end() ? 0 : waits->second);
    }
    // Two places at one engine are of little use: its slots are shared by what it holds.
    std::map<target_id, std::size_t> yieldedAt;
    const auto yieldedBeside = [&](const placement_model &model) {
        std::size_t most = 0;
        for (const placement_target &target : input.targets) {
            most = std::max(most, holds(target, model.model) ? yieldedAt[target.target] : 0);
        }
        return most;
    };
    for (std::size_t yields = std::min(needed - places, input.models.size() / 2); yields > 0; --yields) {
        placement_model *least = nullptr;
        double leastCost = 0;
        for (placement_model &model : input.models) {
            const double cost = needs[model.model] + placeBeside * static_cast<double>(yieldedBeside(model));
            if (model.homed && needs[model.model] < mostYielded && (!least || cost < leastCost)) {
                least = &model;
                leastCost = cost;
            }
        }
        if (!least) {
            return;
        }
        least->homed = false;
        for (const placement_target &target : input.targets) {
            yieldedAt[target.target] += holds(target, least->model) ? 1 : 0;
        }
    }
}

/// What many wait for is loaded first, whatever the plan's own order: loads are few at once.
static void orderByNeed(wanted_placement &wanted, const placement_input &input, const demand_view &demand)
{
    const auto needOf = [&](const wanted_load &load) {
        return wantedStreams(load.model, demand) / static_cast<double>(copiesOf(load.model, input.targets) + 1);
    };
    std::stable_sort(wanted.loads.begin(), wanted.loads.end(), [&needOf](const wanted_load &left, const wanted_load &right) {
        return needOf(left) > needOf(right);
    });
}

residency_plan planResidency(const service_id &service,
                             const engine_traits &traits,
                             const target_pool &pool,
                             const residency_keeper &keeper,
                             const demand_view &demand,
                             const std::map<model_id, double> &unserved)
{
    placement_input input;
    input.domain = domain_id(service.text());
    input.options.moveCost = leastGain * minutesOfDemand;
    input.options.keepSwapRoom = false;
    for (const auto &[id, target] : pool.targets()) {
        if (target.listed.service != service || !target.listed.isEngine) {
            continue;
        }
        // An engine whose report is awaited holds what it is listed with: without it, its models would
        // seem to be lost and be loaded elsewhere.
        const std::vector<held_model> *held = keeper.heldBy(id);
        input.targets.push_back(targetOf(target, held ? *held : target.listed.models, traits));
    }
    for (const served_model &model : traits.models) {
        placement_model made;
        made.model = model.model;
        made.version = onlyVersion;
        made.bytes = static_cast<std::uint64_t>(model.megabytes * bytesPerMegabyte);
        made.currentPerMinute = minutesOfDemand * wantedStreams(model.model, demand);
        const auto streams = demand.models().find(model.model);
        const double remembered = streams == demand.models().end() ? 0 : streams->second.remembered;
        made.requestsPerMinute = std::max(made.currentPerMinute, headroom * minutesOfDemand * remembered);
        input.models.push_back(std::move(made));
    }
    yieldPlaces(input, traits, demand, unserved);
    residency_plan plan;
    for (const placement_model &model : input.models) {
        if (!model.homed) {
            plan.yielding.insert(model.model);
        }
    }
    plan.wanted = planPlacement(input).wanted;
    orderByNeed(plan.wanted, input, demand);
    return plan;
}

} // namespace fuchsialoom
