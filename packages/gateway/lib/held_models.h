/// \file
/// Lookups in the models that an engine holds, for the sources of residency_reconciler.
#pragma once

#include "fuchsialoom/gateway/residency_reconciler.h"

#include <algorithm>

namespace fuchsialoom
{

/// Interval of report requests while an engine loads or unloads; reports are about 200 ms old.
inline constexpr milliseconds loadReportInterval{200};

/// How long an adapter whose unload waits for running requests counts against the adapter slots: 99 in 100 streams
/// last at most 4 s.
inline constexpr milliseconds adapterDrainTime{5000};

inline held_model *findModel(std::vector<held_model> &models, const model_id &model)
{
    const auto found = std::find_if(models.begin(), models.end(), [&model](const held_model &held) {
        return held.model == model;
    });
    return found == models.end() ? nullptr : &*found;
}

inline bool holdsModel(const std::vector<held_model> &models, const model_id &model)
{
    return std::any_of(models.begin(), models.end(), [&model](const held_model &held) {
        return held.model == model;
    });
}

} // namespace fuchsialoom
