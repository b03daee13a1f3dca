/// \file
/// Bookkeeping of memory, copies and served demand, and the placement of what the constraints ask for.
#include "placement_layout.h"

#include "fuchsialoom/core/bin_packing.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <tuple>
#include <utility>

namespace fuchsialoom
{

namespace
{

constexpr double secondsPerMinute = 60;
constexpr double milliPerStream = 1000;

std::vector<milli_streams> demandsOf(const std::vector<placement_model> &models, double placement_model::*perMinute)
{
    std::vector<milli_streams> demands;
    demands.reserve(models.size());
    for (const placement_model &model : models) {
        const double streams = model.*perMinute / secondsPerMinute * model.secondsPerRequest;
        demands.push_back(std::llround(std::max(streams, 0.0) * milliPerStream));
    }
    return demands;
}

std::vector<milli_streams> capacitiesOf(const std::vector<placement_target> &targets)
{
    std::vector<milli_streams> capacities;
    capacities.reserve(targets.size());
    for (const placement_target &target : targets) {
        capacities.push_back(static_cast<milli_streams>(target.streams * milliPerStream));
    }
    return capacities;
}

} // namespace

placement_layout::placement_layout(const std::vector<placement_target> &targets, const std::vector<placement_model> &models)
    : m_models(models)
    , m_demands(demandsOf(models, &placement_model::currentPerMinute))
    , m_forecasts(demandsOf(models, &placement_model::requestsPerMinute))
    , m_capacities(capacitiesOf(targets))
    , m_used(targets.size())
    , m_holds(targets.size(), std::vector<bool>(models.size()))
    , m_copies(models.size())
    , m_flow(m_demands, m_capacities)
    , m_forecastFlow(m_forecasts, m_capacities)
{
    for (std::size_t target = 0; target < targets.size(); ++target) {
        m_memory.push_back(static_cast<std::int64_t>(targets[target].memoryBytes));
        for (const resident_model &resident : targets[target].models) {
            const auto found = std::ranges::lower_bound(models, resident.model, {}, &placement_model::model);
            const bool inService = found != models.end() && found->model == resident.model;
            const auto model = static_cast<std::size_t>(found - models.begin());
            // An old and a new version of one model are one copy of it.
            if (inService && !holds(target, model)) {
                add(target, model);
            }
        }
    }
}

std::int64_t placement_layout::bytesOf(std::size_t model) const
{
    return static_cast<std::int64_t>(m_models[model].bytes);
}

void placement_layout::add(std::size_t target, std::size_t model)
{
    assert(!holds(target, model) && "a target holds a model once");
    m_holds[target][model] = true;
    m_used[target] += bytesOf(model);
    ++m_copies[model];
    m_flow.connect(model, target);
    m_forecastFlow.connect(model, target);
}

void placement_layout::remove(std::size_t target, std::size_t model)
{
    assert(holds(target, model) && "only a copy that is there can be removed");
    m_holds[target][model] = false;
    m_used[target] -= bytesOf(model);
    --m_copies[model];
    m_flow.disconnect(model, target);
    m_forecastFlow.disconnect(model, target);
}

void placement_layout::recomputeFlows()
{
    m_flow = demand_flow(m_demands, m_capacities);
    m_forecastFlow = demand_flow(m_forecasts, m_capacities);
    for (std::size_t target = 0; target < targetCount(); ++target) {
        for (std::size_t model = 0; model < modelCount(); ++model) {
            if (holds(target, model)) {
                m_flow.connect(model, target);
                m_forecastFlow.connect(model, target);
            }
        }
    }
    m_flow.maximise();
    m_forecastFlow.maximise();
}

void placement_layout::useBytes(std::size_t target, std::int64_t bytes)
{
    m_used[target] += bytes;
}

bool placement_layout::mayEvict(std::size_t model, eviction_floor floor) const
{
    const placement_model &info = m_models[model];
    std::size_t least = 0;
    if (info.homed) {
        least = floor == eviction_floor::LastCopy ? 1 : std::max(1U, info.copiesMin);
    }
    return m_copies[model] > least;
}

std::vector<std::size_t> placement_layout::heldByUse(std::size_t target) const
{
    std::vector<std::size_t> held;
    for (std::size_t model = 0; model < modelCount(); ++model) {
        if (holds(target, model)) {
            held.push_back(model);
        }
    }
    std::ranges::stable_sort(held, {}, [&](std::size_t model) {
        return std::tuple(m_forecastFlow.flowOn(model, target), m_flow.flowOn(model, target), -bytesOf(model));
    });
    return held;
}

std::optional<std::vector<std::size_t>>
placement_layout::evictionsFor(std::size_t target, std::int64_t bytes, std::optional<std::size_t> spared, eviction_floor floor) const
{
    std::vector<std::size_t> evicted;
    std::int64_t free = freeBytes(target);
    if (free >= bytes) {
        return evicted;
    }
    for (const std::size_t model : heldByUse(target)) {
        if (free >= bytes) {
            break;
        }
        if (model != spared && mayEvict(model, floor)) {
            evicted.push_back(model);
            free += bytesOf(model);
        }
    }
    if (free < bytes) {
        return std::nullopt;
    }
    // The last ones taken may have made the first unnecessary.
    std::erase_if(evicted, [&](std::size_t model) {
        const bool unnecessary = free - bytesOf(model) >= bytes;
        free -= unnecessary ? bytesOf(model) : 0;
        return unnecessary;
    });
    return evicted;
}

void placement_layout::relieveOvercommit()
{
    for (std::size_t target = 0; target < targetCount(); ++target) {
        for (const eviction_floor floor : {eviction_floor::CopiesMin, eviction_floor::LastCopy}) {
            for (const std::size_t model : heldByUse(target)) {
                if (freeBytes(target) < 0 && mayEvict(model, floor)) {
                    remove(target, model);
                }
            }
        }
        for (const std::size_t model : heldByUse(target)) {
            if (freeBytes(target) < 0) {
                remove(target, model);
            }
        }
    }
}

std::optional<std::size_t> placement_layout::roomiestFor(std::size_t model) const
{
    std::optional<std::size_t> best;
    for (std::size_t target = 0; target < targetCount(); ++target) {
        if (holds(target, model) || freeBytes(target) < bytesOf(model)) {
            continue;
        }
        const auto rank = [this](std::size_t one) {
            return std::pair(m_flow.spare(one), -freeBytes(one));
        };
        if (!best || rank(target) > rank(*best)) {
            best = target;
        }
    }
    return best;
}

bool placement_layout::place(std::size_t model, eviction_floor floor)
{
    m_flow.maximise();
    if (const std::optional<std::size_t> target = roomiestFor(model)) {
        add(*target, model);
        return true;
    }
    std::optional<std::size_t> best;
    std::vector<std::size_t> bestEvicted;
    milli_streams bestLoss = 0;
    for (std::size_t target = 0; target < targetCount(); ++target) {
        if (holds(target, model)) {
            continue;
        }
        auto evicted = evictionsFor(target, bytesOf(model), std::nullopt, floor);
        if (!evicted) {
            continue;
        }
        milli_streams loss = 0;
        for (const std::size_t gone : *evicted) {
            loss += m_flow.flowOn(gone, target);
        }
        if (!best || std::pair(loss, evicted->size()) < std::pair(bestLoss, bestEvicted.size())) {
            best = target;
            bestLoss = loss;
            bestEvicted = std::move(*evicted);
        }
    }
    if (!best) {
        return false;
    }
    for (const std::size_t gone : bestEvicted) {
        remove(*best, gone);
    }
    add(*best, model);
    return true;
}

bool placement_layout::repack()
{
    m_flow.maximise();
    std::vector<std::size_t> homed;
    std::vector<packing_item> items;
    for (std::size_t model = 0; model < modelCount(); ++model) {
        if (!m_models[model].homed) {
            continue;
        }
        packing_item item{m_models[model].bytes, std::nullopt};
        for (std::size_t target = 0; target < targetCount(); ++target) {
            const bool better = !item.preferred || m_flow.flowOn(model, target) > m_flow.flowOn(model, *item.preferred);
            if (holds(target, model) && better) {
                item.preferred = target;
            }
        }
        homed.push_back(model);
        items.push_back(item);
    }
    std::vector<std::uint64_t> bins;
    for (const std::int64_t memory : m_memory) {
        bins.push_back(static_cast<std::uint64_t>(std::max<std::int64_t>(memory, 0)));
    }
    const auto packed = packAll(items, bins);
    if (!packed) {
        return false;
    }
    std::vector<std::vector<std::size_t>> byUse;
    for (std::size_t target = 0; target < targetCount(); ++target) {
        byUse.push_back(heldByUse(target));
        for (const std::size_t model : byUse[target]) {
            remove(target, model);
        }
    }
    for (std::size_t index = 0; index < homed.size(); ++index) {
        add((*packed)[index], homed[index]);
    }
    // What was there and still fits stays, the most used first.
    for (std::size_t target = 0; target < targetCount(); ++target) {
        for (auto model = byUse[target].rbegin(); model != byUse[target].rend(); ++model) {
            if (!holds(target, *model) && freeBytes(target) >= bytesOf(*model)) {
                add(target, *model);
            }
        }
    }
    return true;
}

} // namespace fuchsialoom
