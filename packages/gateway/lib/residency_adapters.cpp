/// \file
/// Adapter orders: on-demand loads for waiting requests, evictions and prefetches.
#include "held_models.h"

#include <tuple>

namespace fuchsialoom
{

/// VMs repeat a request for an adapter while they need it, so it expires quickly.
static constexpr milliseconds adapterRequestLifetime{600};
/// An adapter requested or running within this time isn't evicted.
static constexpr milliseconds adapterIdleTime{500};
/// Interval of prefetch passes.
static constexpr milliseconds prefetchInterval{100};
/// Limit on prefetches for each pass, so that the store has capacity for adapters that requests wait for: 24 or more
/// concurrent adapter loads slow each other down.
static constexpr int maxPrefetchesPerPass = 4;
/// Adapter slots for each engine that prefetching leaves free for adapters that requests wait for.
static constexpr std::size_t reservedAdapterSlots = 1;

std::size_t residency_reconciler::adapterCount(const engine_state &state) const
{
    std::size_t count = state.drainingAdapters.size();
    for (const held_model &held : state.report.models) {
        count += held.adapters.size();
        for (const adapter_id &adapter : held.adapters) {
            count -= state.drainingAdapters.contains({held.model, adapter}) ? 1 : 0;
        }
    }
    return count;
}

std::optional<residency_reconciler::adapter_key> residency_reconciler::leastRecentlyUsed(instant now, const engine_state &state) const
{
    std::optional<adapter_key> least;
    instant leastAt = farFuture;
    for (const held_model &held : state.report.models) {
        for (const adapter_id &adapter : held.adapters) {
            const auto known = m_adapterUses.find({held.model, adapter});
            const adapter_use use = known == m_adapterUses.end() ? adapter_use{} : known->second;
            if (now - use.requestedAt < adapterIdleTime || now - use.runningAt < adapterIdleTime) {
                continue;
            }
            if (use.requestedAt < leastAt) {
                leastAt = use.requestedAt;
                least = adapter_key(held.model, adapter);
            }
        }
    }
    return least;
}

void residency_reconciler::requestAdapter(instant now, const adapter_request &adapterRequest)
{
    m_adapterRequests[adapterRequest] = now + adapterRequestLifetime;
    recordAdapterUse(now, adapterRequest.model, adapterRequest.adapter);
}

void residency_reconciler::recordAdapterUse(instant now, const model_id &model, const adapter_id &adapter, std::uint32_t running)
{
    adapter_use &use = m_adapterUses[{model, adapter}];
    use.requestedAt = now;
    if (running > 0) {
        use.runningAt = now;
    }
}

bool residency_reconciler::serveAdapterRequest(instant now,
                                               const target_pool &pool,
                                               const adapter_request &adapterRequest,
                                               residency_actions &actions)
{
    const auto traits = m_traits.find(adapterRequest.service);
    if (traits == m_traits.end()) {
        return true;
    }
    engine_state *best = nullptr;
    target_id bestId;
    double bestLoad = 0;
    for (auto &[id, state] : m_engines) {
        const pool_target *target = pool.find(id);
        if (state.service != adapterRequest.service || !target || !target->takesNew() || !state.reportValid
            || !holdsModel(state.report.models, adapterRequest.model)) {
            continue;
        }
        if (findModel(state.report.models, adapterRequest.model)->adapters.contains(adapterRequest.adapter)) {
            return true;
        }
        if (state.drainingAdapters.contains({adapterRequest.model, adapterRequest.adapter})) {
            continue;
        }
        if (state.unanswered || state.pendingUnload || (state.inProgress && state.inProgress->model == adapterRequest.model)) {
            continue;
        }
        const bool full = adapterCount(state) >= traits->second.adapterSlots;
        // Evicting an adapter costs as much as 0.3 of an engine's load.
        const double load = static_cast<double>(target->inFlight()) / target->listed.slots + (full ? 0.3 : 0);
        if (!best || load < bestLoad) {
            best = &state;
            bestId = id;
            bestLoad = load;
        }
    }
    if (!best) {
        return false;
    }
    const pool_target &target = *pool.find(bestId);
    if (adapterCount(*best) >= traits->second.adapterSlots) {
        const std::optional<adapter_key> victim = leastRecentlyUsed(now, *best);
        if (!victim) {
            return false;
        }
        actions.residencyChanges.push_back({bestId, victim->first, victim->second, false});
        issueOrder(now, *best, {bestId, target.listed.address, false, victim->first, victim->second, 0}, actions);
        return false;
    }
    const served_model *model = traits->second.find(adapterRequest.model);
    if (!model || usedMegabytes(*best, traits->second) + model->adapterMegabytes > traits->second.megabytes) {
        return false;
    }
    issueOrder(now, *best, {bestId, target.listed.address, true, adapterRequest.model, adapterRequest.adapter, 0}, actions);
    return true;
}

void residency_reconciler::serveAdapterRequests(instant now, const target_pool &pool, residency_actions &actions)
{
    std::erase_if(m_adapterRequests, [now](const auto &entry) {
        return entry.second <= now;
    });
    if (now < m_adapterMovesFrom) {
        return;
    }
    for (auto one = m_adapterRequests.begin(); one != m_adapterRequests.end();) {
        if (serveAdapterRequest(now, pool, one->first, actions)) {
            one = m_adapterRequests.erase(one);
        } else {
            ++one;
        }
    }
}

/// Loads the least replicated adapters of busy models into free adapter slots. A request whose adapter no engine holds
/// depends on the lease holder, which may be absent for 6 s: on a day with such an absence, nine in ten of the refused
/// requests had named an adapter.
void residency_reconciler::prefetchAdapters(instant now, const target_pool &pool, residency_actions &actions)
{
    if (now < m_adapterMovesFrom || now < m_nextPrefetchAt) {
        return;
    }
    m_nextPrefetchAt = now + prefetchInterval;
    std::map<adapter_key, std::size_t> copies;
    for (const auto &[id, state] : m_engines) {
        for (const held_model &held : state.report.models) {
            for (const adapter_id &adapter : held.adapters) {
                copies[{held.model, adapter}] += 1;
            }
        }
    }
    int prefetches = 0;
    for (auto &[id, state] : m_engines) {
        const pool_target *target = pool.find(id);
        const auto plan = m_plans.find(state.service);
        if (!target || !target->takesNew() || !state.reportValid || state.unanswered || state.pendingUnload || state.report.busy
            || plan == m_plans.end()) {
            continue;
        }
        const engine_traits &traits = m_traits.at(state.service);
        if (adapterCount(state) + reservedAdapterSlots >= traits.adapterSlots) {
            continue;
        }
        const std::optional<adapter_key> rarest = leastReplicatedAdapter(state, traits, plan->second.busyModels, copies);
        if (!rarest || usedMegabytes(state, traits) + traits.find(rarest->first)->adapterMegabytes > traits.megabytes) {
            continue;
        }
        copies[*rarest] += 1;
        issueOrder(now, state, {id, target->listed.address, true, rarest->first, rarest->second, 0}, actions);
        prefetches += 1;
        if (prefetches >= maxPrefetchesPerPass) {
            return;
        }
    }
}

/// Of the adapters for busy models that \p at holds and that aren't loaded there, the one held by the fewest engines;
/// of several, the most recently requested.
std::optional<residency_reconciler::adapter_key>
residency_reconciler::leastReplicatedAdapter(const engine_state &state,
                                             const engine_traits &traits,
                                             const std::set<model_id> &busy,
                                             const std::map<adapter_key, std::size_t> &copies) const
{
    std::optional<adapter_key> rarest;
    std::tuple<std::size_t, instant> least;
    for (const held_model &held : state.report.models) {
        const served_model *model = traits.find(held.model);
        if (!model || !busy.contains(held.model)) {
            continue;
        }
        for (std::uint32_t number = 1; number <= model->adapters; ++number) {
            const adapter_key key(held.model, numberedAdapter(number));
            if (held.adapters.contains(key.second) || state.drainingAdapters.contains(key)) {
                continue;
            }
            const auto count = copies.find(key);
            const auto use = m_adapterUses.find(key);
            const instant unasked = farFuture - (use == m_adapterUses.end() ? instant{} : use->second.requestedAt).time_since_epoch();
            const std::tuple rank(count == copies.end() ? 0 : count->second, unasked);
            if (!rarest || rank < least) {
                rarest = key;
                least = rank;
            }
        }
    }
    return rarest;
}

} // namespace fuchsialoom
