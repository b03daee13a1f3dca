/// \file
/// From demand, and from what engines hold, to the placement wanted.
#include "fuchsialoom/gateway/residency_duty.h"

#include "fuchsialoom/gateway/replica_plan.h"

#include <algorithm>

namespace fuchsialoom
{

/// Weights have one version at a time here: a load fetches the newest.
static const version_id onlyVersion{"newest"};
static constexpr double bytesPerMegabyte = 1e6;
/// Streams that a model's engines are to have for each that runs or waits: arrivals come in clumps of three.
static constexpr double headroom = 1.35;
/// Seconds that a plan looks ahead on a rise, beside a load's time: the unload that makes room waits for its runs, 1.5
/// to 3 s, its order and the news of it take half a one.
static constexpr double lookAhead = 2.0;
/// Of a load from the weight store, the part that is looked ahead as well.
static constexpr double lookAheadOfLoad = 0.8;

/// Streams from which on a model's adapters are fetched ahead: below, one is asked for every few seconds.
static constexpr double busyStreams = 3.0;

/// Adapters move too often for a plan; room for all that an engine may hold is kept beside its weights.
static double megabytesForWeights(const engine_traits &traits)
{
    double largest = 0;
    for (const served_model &model : traits.models) {
        largest = std::max(largest, model.adapters > 0 ? model.adapterMegabytes : 0);
    }
    return traits.megabytes - largest * traits.adapterSlots;
}

static replica_model modelOf(const served_model &model, const demand_view &demand, const std::map<model_id, double> &unserved)
{
    replica_model made;
    made.model = model.model;
    made.megabytes = model.megabytes;
    made.loadSeconds = model.loadSeconds;
    made.diskSeconds = model.diskLoadSeconds;
    made.memorySeconds = model.memoryLoadSeconds;
    const auto streams = demand.models().find(model.model);
    if (streams != demand.models().end()) {
        made.streams = headroom * demand_view::projected(streams->second, lookAhead + lookAheadOfLoad * model.loadSeconds);
        made.remembered = headroom * streams->second.remembered;
    }
    const auto waits = unserved.find(model.model);
    made.waited = waits == unserved.end() ? 0 : waits->second;
    return made;
}

static replica_engine engineOf(instant now, const pool_target &target, const engine_traits &traits, const residency_keeper &keeper)
{
    replica_engine made;
    made.target = target.listed.id;
    made.megabytes = megabytesForWeights(traits);
    // An engine whose report is awaited holds what it is listed with: without it, its models would seem to
    // be lost and be loaded elsewhere.
    const std::vector<held_model> *held = keeper.heldBy(target.listed.id);
    const std::optional<model_id> going = keeper.goingFrom(target.listed.id);
    for (const held_model &one : held ? *held : target.listed.models) {
        if (one.model != going) {
            made.held.insert(one.model);
        }
    }
    made.fresh = keeper.freshAt(now, target.listed.id);
    if (const engine_report *report = keeper.reportOf(target.listed.id)) {
        made.atHand = report->atHand;
        made.inMemory = report->inMemory;
    }
    return made;
}

static residency_plan residencyOf(const replica_plan &replicas, const engine_traits &traits)
{
    const auto bytesOf = [&traits](const model_id &model) {
        const served_model *known = traits.find(model);
        return known ? static_cast<std::uint64_t>(known->megabytes * bytesPerMegabyte) : 0;
    };
    residency_plan plan;
    for (const auto &[target, models] : replicas.wanted) {
        wanted_target wanted{target, {}, {}};
        for (const model_id &model : models) {
            wanted.models.push_back({model, onlyVersion, bytesOf(model)});
        }
        plan.wanted.targets.push_back(std::move(wanted));
    }
    for (const replica_load &load : replicas.loads) {
        plan.wanted.loads.push_back({load.target, load.model, onlyVersion, {}, bytesOf(load.model), move_cause::Demand});
    }
    plan.yielding = replicas.yielding;
    return plan;
}

residency_plan planResidency(instant now,
                             const service_id &service,
                             const engine_traits &traits,
                             const target_pool &pool,
                             const residency_keeper &keeper,
                             const demand_view &demand,
                             const std::map<model_id, double> &unserved)
{
    std::vector<replica_engine> engines;
    for (const auto &[id, target] : pool.targets()) {
        if (target.listed.service == service && target.listed.isEngine && target.takesNew()) {
            engines.push_back(engineOf(now, target, traits, keeper));
        }
    }
    std::vector<replica_model> models;
    for (const served_model &model : traits.models) {
        models.push_back(modelOf(model, demand, unserved));
    }
    std::set<model_id> busy;
    for (const replica_model &model : models) {
        if (model.streams >= busyStreams) {
            busy.insert(model.model);
        }
    }
    residency_plan plan = residencyOf(planReplicas(std::move(engines), std::move(models)), traits);
    plan.busy = std::move(busy);
    return plan;
}

} // namespace fuchsialoom
