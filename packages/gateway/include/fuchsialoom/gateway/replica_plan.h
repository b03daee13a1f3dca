/// \file
/// How many copies each model is to have, and at which engines. Pure: from what engines hold and what is
/// asked of each model to the copies wanted and the loads that lead there.
///
/// Places are given out one by one, each to the model with the most streams for each copy that it would have
/// then (highest averages), so that copies follow demand and no place stays empty while some model is busy. A
/// copy changes hands only when that gains more than a load costs, and counts from when it serves: a load takes from
/// under a second, out of an engine's own memory, to many, out of the weight store.
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
    double loadSeconds = 0; ///< from the weight store
    double streams = 0; ///< that are to have places soon
    double recentPeakStreams = 0; ///< the most streams of late, fading
    double waitingStreams = 0; ///< streams that its waiting counts as, while no engine holds it
    double diskSeconds = 0; ///< a load from an engine's own disk; 0: not told
    double memorySeconds = 0; ///< a load from an engine's own memory; 0: not told
};

struct replica_engine
{
    target_id target;
    double megabytes = 0; ///< for weights
    std::set<model_id> held; ///< resident or being loaded, and not on their way out
    std::set<model_id> recentlyLoaded; ///< of these, those that have served for less time than their load took
    std::set<model_id> cachedModels; ///< weights in its memory or on its disk: quick to load
    std::set<model_id> memoryCachedModels; ///< of these, those in its memory
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
    std::vector<replica_load> loads; ///< the models with the most streams for each copy first
    std::set<model_id> evictable; ///< models without a wanted copy: their last one may go for now
};

/// \p engines: those that serve. Lists in any order; the result depends on their content alone.
replica_plan planReplicas(std::vector<replica_engine> engines, std::vector<replica_model> models);

} // namespace fuchsialoom
