/// \file
/// What the keeper orders of adapters: those that requests wait for, and those that they will ask for.
#include "held_models.h"

#include <tuple>

namespace fuchsialoom
{

/// A want is repeated by the VMs that have it, so it lapses soon.
static constexpr milliseconds adapterWantLifetime{600};
/// An adapter that was asked for so lately doesn't make way for another.
static constexpr milliseconds adapterIdleTime{500};
/// Between two looks for adapters to fetch ahead.
static constexpr milliseconds prefetchInterval{100};
/// Adapters fetched ahead in one look, so that those that requests wait for find the store free: the fewest on
/// their way that slow each other down are 24.
static constexpr int maxPrefetchesPerPass = 4;
/// Places kept for adapters that requests wait for.
static constexpr std::size_t reservedAdapterSlots = 1;

std::size_t residency_reconciler::adapterCount(const engine &at) const
{
    std::size_t count = at.drainingAdapters.size();
    for (const held_model &held : at.report.models) {
        count += held.adapters.size();
        for (const adapter_id &adapter : held.adapters) {
            count -= at.drainingAdapters.contains({held.model, adapter}) ? 1 : 0;
        }
    }
    return count;
}

std::optional<residency_reconciler::adapter_key> residency_reconciler::leastRecentlyUsed(instant now, const engine &at) const
{
    std::optional<adapter_key> least;
    instant leastAt = farFuture;
    for (const held_model &held : at.report.models) {
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

void residency_reconciler::want(instant now, const adapter_request &want)
{
    m_adapterWants[want] = now + adapterWantLifetime;
    recordAdapterUse(now, want.model, want.adapter);
}

void residency_reconciler::recordAdapterUse(instant now, const model_id &model, const adapter_id &adapter, std::uint32_t running)
{
    adapter_use &use = m_adapterUses[{model, adapter}];
    use.requestedAt = now;
    if (running > 0) {
        use.runningAt = now;
    }
}

bool residency_reconciler::serveAdapterWant(instant now, const target_pool &pool, const adapter_request &want, residency_actions &actions)
{
    const auto traits = m_traits.find(want.service);
    if (traits == m_traits.end()) {
        return true;
    }
    engine *best = nullptr;
    target_id bestId;
    double bestLoad = 0;
    for (auto &[id, at] : m_engines) {
        const pool_target *target = pool.find(id);
        if (at.service != want.service || !target || !target->takesNew() || !at.known || !holdsModel(at.report.models, want.model)) {
            continue;
        }
        if (findModel(at.report.models, want.model)->adapters.contains(want.adapter)) {
            return true;
        }
        if (at.drainingAdapters.contains({want.model, want.adapter})) {
            continue;
        }
        if (at.unanswered || at.pendingUnload || (at.inProgress && at.inProgress->model == want.model)) {
            continue;
        }
        const bool full = adapterCount(at) >= traits->second.adapterSlots;
        // A free place is worth a third of an engine's load.
        const double load = static_cast<double>(target->inFlight()) / target->listed.slots + (full ? 0.3 : 0);
        if (!best || load < bestLoad) {
            best = &at;
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
        actions.news.push_back({bestId, victim->first, victim->second, false});
        issueOrder(now, *best, {bestId, target.listed.address, false, victim->first, victim->second, 0}, actions);
        return false;
    }
    const served_model *model = traits->second.find(want.model);
    if (!model || usedMegabytes(*best, traits->second) + model->adapterMegabytes > traits->second.megabytes) {
        return false;
    }
    issueOrder(now, *best, {bestId, target.listed.address, true, want.model, want.adapter, 0}, actions);
    return true;
}

void residency_reconciler::serveAdapterWants(instant now, const target_pool &pool, residency_actions &actions)
{
    std::erase_if(m_adapterWants, [now](const auto &entry) {
        return entry.second <= now;
    });
    if (now < m_adapterMovesFrom) {
        return;
    }
    for (auto one = m_adapterWants.begin(); one != m_adapterWants.end();) {
        if (serveAdapterWant(now, pool, one->first, actions)) {
            one = m_adapterWants.erase(one);
        } else {
            ++one;
        }
    }
}

/// Adapters of the busy models that are at the fewest engines go where there is a place. A request whose adapter is
/// at no engine waits for the holder of the duty, which may be gone for 6 s: of the requests that were refused on
/// a day on which it was, nine in ten had named an adapter.
void residency_reconciler::prefetchAdapters(instant now, const target_pool &pool, residency_actions &actions)
{
    if (now < m_adapterMovesFrom || now < m_nextPrefetchAt) {
        return;
    }
    m_nextPrefetchAt = now + prefetchInterval;
    std::map<adapter_key, std::size_t> copies;
    for (const auto &[id, at] : m_engines) {
        for (const held_model &held : at.report.models) {
            for (const adapter_id &adapter : held.adapters) {
                copies[{held.model, adapter}] += 1;
            }
        }
    }
    int prefetches = 0;
    for (auto &[id, at] : m_engines) {
        const pool_target *target = pool.find(id);
        const auto plan = m_plans.find(at.service);
        if (!target || !target->takesNew() || !at.known || at.unanswered || at.pendingUnload || at.report.busy || plan == m_plans.end()) {
            continue;
        }
        const engine_traits &traits = m_traits.at(at.service);
        if (adapterCount(at) + reservedAdapterSlots >= traits.adapterSlots) {
            continue;
        }
        const std::optional<adapter_key> rarest = leastReplicatedAdapter(at, traits, plan->second.busy, copies);
        if (!rarest || usedMegabytes(at, traits) + traits.find(rarest->first)->adapterMegabytes > traits.megabytes) {
            continue;
        }
        copies[*rarest] += 1;
        issueOrder(now, at, {id, target->listed.address, true, rarest->first, rarest->second, 0}, actions);
        prefetches += 1;
        if (prefetches >= maxPrefetchesPerPass) {
            return;
        }
    }
}

/// Of the adapters that \p at could hold beside its busy models, the one at the fewest engines; of several, the one
/// asked for last.
std::optional<residency_reconciler::adapter_key> residency_reconciler::leastReplicatedAdapter(const engine &at,
                                                                             const engine_traits &traits,
                                                                             const std::set<model_id> &busy,
                                                                             const std::map<adapter_key, std::size_t> &copies) const
{
    std::optional<adapter_key> rarest;
    std::tuple<std::size_t, instant> least;
    for (const held_model &held : at.report.models) {
        const served_model *model = traits.find(held.model);
        if (!model || !busy.contains(held.model)) {
            continue;
        }
        for (std::uint32_t number = 1; number <= model->adapters; ++number) {
            const adapter_key key(held.model, numberedAdapter(number));
            if (held.adapters.contains(key.second) || at.drainingAdapters.contains(key)) {
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
