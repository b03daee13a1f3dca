/// \file
/// Computes the planned placement from the demand and the models that engines hold.
#include "fuchsialoom/gateway/residency_controller.h"

#include "fuchsialoom/gateway/replica_plan.h"

#include <algorithm>

namespace fuchsialoom
{

/// Loads always fetch the newest version of the weights; there is no other at a time.
static const version_id newestVersion{"newest"};
static constexpr double bytesPerMegabyte = 1e6;
/// Planned streams for each running or waiting one, as requests arrive in bursts of three.
static constexpr double headroom = 1.35;
/// Seconds over which rising demand is extrapolated, in addition to a part of the load time: the unload that frees memory
/// waits 1.5 to 3 s for running requests, and its order and announcement take 0.5 s.
static constexpr double demandLookAheadSeconds = 2.0;
/// Fraction of the load time from the weight store that is added to `demandLookAheadSeconds`.
static constexpr double lookAheadLoadFraction = 0.8;

/// Streams at which prefetching of a model's adapters starts; with fewer, an adapter is requested every few seconds.
static constexpr double prefetchMinStreams = 3.0;

/// Memory of an engine for weights. Adapters change too often to be planned, so room for as many of the largest ones as
/// fit the adapter slots is reserved.
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
        made.streams =
            headroom * demand_view::projected(streams->second, demandLookAheadSeconds + lookAheadLoadFraction * model.loadSeconds);
        made.recentPeakStreams = headroom * streams->second.remembered;
    }
    const auto unservedEntry = unserved.find(model.model);
    made.waitingStreams = unservedEntry == unserved.end() ? 0 : unservedEntry->second;
    return made;
}

static replica_engine
replicaEngineOf(instant now, const pool_target &target, const engine_traits &traits, const residency_reconciler &reconciler)
{
    replica_engine made;
    made.target = target.listed.id;
    made.megabytes = megabytesForWeights(traits);
    // Until an engine's report arrives, its listed models are used. Otherwise its models would count as lost
    // and be loaded elsewhere.
    const std::vector<held_model> *held = reconciler.heldBy(target.listed.id);
    const std::optional<model_id> unloading = reconciler.unloadingFrom(target.listed.id);
    for (const held_model &one : held ? *held : target.listed.models) {
        if (one.model != unloading) {
            made.held.insert(one.model);
        }
    }
    made.recentlyLoaded = reconciler.recentlyLoadedAt(now, target.listed.id);
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
    for (const auto &[target, models] : replicas.placement) {
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
    plan.busyModels = std::move(busy);
    return plan;
}

} // namespace fuchsialoom
