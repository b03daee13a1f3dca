/// \file
/// Plans the number of replicas of each model and the engines that hold them. A pure function of the models that
/// engines hold and the demand for each model; returns the placement and the loads that lead to it.
///
/// Copies are assigned one by one, each to the model with the most streams for each copy that it would then
/// have (highest averages method), so that copies follow demand and no memory stays unused while some model is
/// busy. A copy replaces another only if the gain exceeds the cost of the load. The gain counts from the end of the
/// load, which takes from under a second (from the engine's own memory) to many seconds (from the weight store).
#pragma once

#include "fuchsialoom/support/ids.h"

#include <map>
#include <set>
#include <vector>

namespace fuchsialoom
{

struct replica_model
{
    model_id model;
    double megabytes = 0;
    double loadSeconds = 0; ///< load time from the weight store
    double streams = 0; ///< expected streams in the near future
    double recentPeakStreams = 0; ///< recent peak of streams, decaying over time
    double waitingStreams = 0; ///< weight of its waiting in streams, while no engine holds it
    double diskSeconds = 0; ///< load time from an engine's own disk; 0: unknown
    double memorySeconds = 0; ///< load time from an engine's own memory; 0: unknown
};

struct replica_engine
{
    target_id target;
    double megabytes = 0; ///< memory for weights
    std::set<model_id> held; ///< resident or being loaded, and not being unloaded
    std::set<model_id> recentlyLoaded; ///< the subset of `held` that has served for less time than its load took
    std::set<model_id> cachedModels; ///< models with weights in its memory or on its disk, which load fast
    std::set<model_id> memoryCachedModels; ///< the subset of `cachedModels` in its memory
};

struct replica_load
{
    target_id target;
    model_id model;

    friend bool operator==(const replica_load &, const replica_load &) = default;
};

struct replica_plan
{
    std::map<target_id, std::set<model_id>> placement;
    std::vector<replica_load> loads; ///< ordered by streams for each copy, highest first
    std::set<model_id> evictable; ///< models without a planned copy, whose last copy may be unloaded
};

/// \p engines: those in service. The result doesn't depend on the order of the lists.
replica_plan planReplicas(std::vector<replica_engine> engines, std::vector<replica_model> models);

} // namespace fuchsialoom
