/// \file
/// From demand, and from what engines hold, to the placement wanted.
#include "fuchsialoom/gateway/residency_controller.h"

#include "fuchsialoom/gateway/replica_plan.h"

#include <algorithm>

namespace fuchsialoom
{

/// Weights have one version at a time here: a load fetches the newest.
static const version_id newestVersion{"newest"};
static constexpr double bytesPerMegabyte = 1e6;
/// Streams that a model's engines are to have for each that runs or waits: arrivals come in clumps of three.
static constexpr double headroom = 1.35;
/// Seconds that a plan looks ahead on a rise, beside a load's time: the unload that makes room waits for its runs, 1.5
/// to 3 s, its order and the news of it take half a one.
static constexpr double demandLookAheadSeconds = 2.0;
/// Of a load from the weight store, the part that is looked ahead as well.
static constexpr double lookAheadLoadFraction = 0.8;

/// Streams from which on a model's adapters are fetched ahead: below, one is asked for every few seconds.
static constexpr double prefetchMinStreams = 3.0;

/// Adapters move too often for a plan; room for all that an engine may hold is kept beside its weights.
static double megabytesForWeights(const engine_traits &traits)
{
    double largest = 0;
    for (const served_model &model : traits.models) {
        largest = std::max(largest, model.adapters > 0 ? model.adapterMegabytes : 0);
    }
    return traits.megabytes - largest * traits.adapterSlots;
}

static replica_model replicaModelOf(const served_model &model, const demand_view &demand, const std::map<model_id, double> &unserved)
{
    replica_model made;
    made.model = model.model;
    made.megabytes = model.megabytes;
    made.loadSeconds = model.loadSeconds;
    made.diskSeconds = model.diskLoadSeconds;
    made.memorySeconds = model.memoryLoadSeconds;
    const auto streams = demand.models().find(model.model);
    if (streams != demand.models().end()) {
        made.streams = headroom * demand_view::projected(streams->second, demandLookAheadSeconds + lookAheadLoadFraction * model.loadSeconds);
        made.remembered = headroom * streams->second.remembered;
    }
    const auto waits = unserved.find(model.model);
    made.unservedEntry = waits == unserved.end() ? 0 : waits->second;
    return made;
}

static replica_engine replicaEngineOf(instant now, const pool_target &target, const engine_traits &traits, const residency_reconciler &reconciler)
{
    replica_engine made;
    made.target = target.listed.id;
    made.megabytes = megabytesForWeights(traits);
    // An engine whose report is awaited holds what it is listed with: without it, its models would seem to
    // be lost and be loaded elsewhere.
    const std::vector<held_model> *held = reconciler.heldBy(target.listed.id);
    const std::optional<model_id> unloading = reconciler.unloadingFrom(target.listed.id);
    for (const held_model &one : held ? *held : target.listed.models) {
        if (one.model != unloading) {
            made.held.insert(one.model);
        }
    }
    made.fresh = reconciler.recentlyLoadedAt(now, target.listed.id);
    if (const engine_report *report = reconciler.reportOf(target.listed.id)) {
        made.cachedModels = report->cachedModels;
        made.memoryCachedModels = report->memoryCachedModels;
    }
    return made;
}

static residency_plan residencyPlanOf(const replica_plan &replicas, const engine_traits &traits)
{
    const auto bytesOf = [&traits](const model_id &model) {
        const served_model *known = traits.find(model);
        return known ? static_cast<std::uint64_t>(known->megabytes * bytesPerMegabyte) : 0;
    };
    residency_plan plan;
    for (const auto &[target, models] : replicas.wanted) {
        wanted_target wanted{target, {}, {}};
        for (const model_id &model : models) {
            wanted.models.push_back({model, newestVersion, bytesOf(model)});
        }
        plan.wanted.targets.push_back(std::move(wanted));
    }
    for (const replica_load &load : replicas.loads) {
        plan.wanted.loads.push_back({load.target, load.model, newestVersion, {}, bytesOf(load.model), move_cause::Demand});
    }
    plan.evictable = replicas.evictable;
    return plan;
}

residency_plan planServiceResidency(instant now,
                             const service_id &service,
                             const engine_traits &traits,
                             const target_pool &pool,
                             const residency_reconciler &reconciler,
                             const demand_view &demand,
                             const std::map<model_id, double> &unserved)
{
    std::vector<replica_engine> engines;
    for (const auto &[id, target] : pool.targets()) {
        if (target.listed.service == service && target.listed.isEngine && target.takesNew()) {
            engines.push_back(replicaEngineOf(now, target, traits, reconciler));
        }
    }
    std::vector<replica_model> models;
    for (const served_model &model : traits.models) {
        models.push_back(replicaModelOf(model, demand, unserved));
    }
    std::set<model_id> busy;
    for (const replica_model &model : models) {
        if (model.streams >= prefetchMinStreams) {
            busy.insert(model.model);
        }
    }
    residency_plan plan = residencyPlanOf(planReplicas(std::move(engines), std::move(models)), traits);
    plan.busy = std::move(busy);
    return plan;
}

} // namespace fuchsialoom
