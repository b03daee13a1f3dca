/// \file
/// Small look-ups in what an engine holds, for the residency keeper's sources.
#pragma once

#include "fuchsialoom/gateway/residency_reconciler.h"

#include <algorithm>

namespace fuchsialoom
{

/// Between two looks at an engine that loads; its report is some 200 ms old.
inline constexpr milliseconds loadReportInterval{200};

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
