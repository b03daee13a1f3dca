/// \file
/// What the keeper orders of adapters: those that requests wait for, and those that they will ask for.
#include "held_models.h"

#include <tuple>

namespace fuchsialoom
{

/// A want is repeated by the VMs that have it, so it lapses soon.
static constexpr milliseconds wantHold{600};
/// An adapter that was asked for so lately doesn't make way for another.
static constexpr milliseconds adapterInUse{500};
/// Between two looks for adapters to fetch ahead.
static constexpr milliseconds prefetchEvery{100};
/// Adapters fetched ahead in one look, so that those that requests wait for find the store free: the fewest on
/// their way that slow each other down are 24.
static constexpr int mostPrefetched = 4;
/// Places kept for adapters that requests wait for.
static constexpr std::size_t placesForWants = 1;

std::size_t residency_keeper::adaptersOf(const engine &at) const
{
    std::size_t count = at.departing.size();
    for (const held_model &held : at.report.models) {
        count += held.adapters.size();
        for (const adapter_id &adapter : held.adapters) {
            count -= at.departing.contains({held.model, adapter}) ? 1 : 0;
        }
    }
    return count;
}

std::optional<residency_keeper::adapter_key> residency_keeper::leastUsed(instant now, const engine &at) const
{
    std::optional<adapter_key> least;
    instant leastAt = farFuture;
    for (const held_model &held : at.report.models) {
        for (const adapter_id &adapter : held.adapters) {
            const auto known = m_used.find({held.model, adapter});
            const adapter_use use = known == m_used.end() ? adapter_use{} : known->second;
            if (now - use.askedAt < adapterInUse || now - use.runningAt < adapterInUse) {
                continue;
            }
            if (use.askedAt < leastAt) {
                leastAt = use.askedAt;
                least = adapter_key(held.model, adapter);
            }
        }
    }
    return least;
}

void residency_keeper::want(instant now, const adapter_request &want)
{
    m_wants[want] = now + wantHold;
    used(now, want.model, want.adapter);
}

void residency_keeper::used(instant now, const model_id &model, const adapter_id &adapter, std::uint32_t running)
{
    adapter_use &use = m_used[{model, adapter}];
    use.askedAt = now;
    if (running > 0) {
        use.runningAt = now;
    }
}

bool residency_keeper::serveWant(instant now, const target_pool &pool, const adapter_request &want, residency_steps &steps)
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
        if (at.departing.contains({want.model, want.adapter})) {
            continue;
        }
        if (at.sent || at.retiring || (at.loading && at.loading->model == want.model)) {
            continue;
        }
        const bool full = adaptersOf(at) >= traits->second.adapterSlots;
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
    if (adaptersOf(*best) >= traits->second.adapterSlots) {
        const std::optional<adapter_key> out = leastUsed(now, *best);
        if (!out) {
            return false;
        }
        steps.news.push_back({bestId, out->first, out->second, false});
        handOut(now, *best, {bestId, target.listed.address, false, out->first, out->second, 0}, steps);
        return false;
    }
    const served_model *model = traits->second.find(want.model);
    if (!model || megabytesOf(*best, traits->second) + model->adapterMegabytes > traits->second.megabytes) {
        return false;
    }
    handOut(now, *best, {bestId, target.listed.address, true, want.model, want.adapter, 0}, steps);
    return true;
}

void residency_keeper::serveWants(instant now, const target_pool &pool, residency_steps &steps)
{
    std::erase_if(m_wants, [now](const auto &entry) {
        return entry.second <= now;
    });
    if (now < m_adaptersFrom) {
        return;
    }
    for (auto one = m_wants.begin(); one != m_wants.end();) {
        if (serveWant(now, pool, one->first, steps)) {
            one = m_wants.erase(one);
        } else {
            ++one;
        }
    }
}

/// Adapters of the busy models that are at the fewest engines go where there is a place. A request whose adapter is
/// at no engine waits for the holder of the duty, which may be gone for 6 s: of the requests that were refused on
/// a day on which it was, nine in ten had named an adapter.
void residency_keeper::prefetchAdapters(instant now, const target_pool &pool, residency_steps &steps)
{
    if (now < m_adaptersFrom || now < m_prefetchAt) {
        return;
    }
    m_prefetchAt = now + prefetchEvery;
    std::map<adapter_key, std::size_t> copies;
    for (const auto &[id, at] : m_engines) {
        for (const held_model &held : at.report.models) {
            for (const adapter_id &adapter : held.adapters) {
                copies[{held.model, adapter}] += 1;
            }
        }
    }
    int fetched = 0;
    for (auto &[id, at] : m_engines) {
        const pool_target *target = pool.find(id);
        const auto plan = m_plans.find(at.service);
        if (!target || !target->takesNew() || !at.known || at.sent || at.retiring || at.report.busy || plan == m_plans.end()) {
            continue;
        }
        const engine_traits &traits = m_traits.at(at.service);
        if (adaptersOf(at) + placesForWants >= traits.adapterSlots) {
            continue;
        }
        const std::optional<adapter_key> rarest = rarestAdapter(at, traits, plan->second.busy, copies);
        if (!rarest || megabytesOf(at, traits) + traits.find(rarest->first)->adapterMegabytes > traits.megabytes) {
            continue;
        }
        copies[*rarest] += 1;
        handOut(now, at, {id, target->listed.address, true, rarest->first, rarest->second, 0}, steps);
        fetched += 1;
        if (fetched >= mostPrefetched) {
            return;
        }
    }
}

/// Of the adapters that \p at could hold beside its busy models, the one at the fewest engines; of several, the one
/// asked for last.
std::optional<residency_keeper::adapter_key> residency_keeper::rarestAdapter(const engine &at,
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
            const adapter_key key(held.model, adapterAt(number));
            if (held.adapters.contains(key.second) || at.departing.contains(key)) {
                continue;
            }
            const auto count = copies.find(key);
            const auto use = m_used.find(key);
            const instant unasked = farFuture - (use == m_used.end() ? instant{} : use->second.askedAt).time_since_epoch();
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
