/// \file
/// What the keeper orders of models. Adapters are in residency_adapters.cpp, what it learns in
/// residency_answers.cpp.
#include "fuchsialoom/gateway/residency_reconciler.h"

#include "held_models.h"

#include <algorithm>

namespace fuchsialoom
{

/// From the news that a model goes until its unload: requests on their way still find it.
static constexpr milliseconds unloadDelay{120};
/// Between two times that an unload under way is told.
static constexpr milliseconds reannounceInterval{1000};
/// What is left of a departure after the turn between two holders, 3 s on all deployments.
static constexpr milliseconds adapterHoldAfterTakeover{2000};
/// The least turn between two holders: loads that another VM ordered are at least so old when this one begins.
static constexpr milliseconds minHandoverTime{3000};

residency_reconciler::residency_reconciler(store_load_limits limits, decision_log &log)
    : m_limits(limits)
    , m_log(log)
{
}

void residency_reconciler::reset(instant now)
{
    // The other's last order is a turn ago already.
    m_adapterMovesFrom = now + adapterHoldAfterTakeover;
    // It may have used up the store's rate right before its turn ended.
    m_storeLoadsFrom = now + std::max(milliseconds(0), m_limits.window - minHandoverTime);
    m_loadStarts.clear();
    m_engines.clear();
    m_adapterWants.clear();
    m_plans.clear();
    m_scheduledNews.clear();
}

void residency_reconciler::setTraits(const service_id &service, const engine_traits &traits)
{
    m_traits[service] = traits;
}

void residency_reconciler::setPlan(const service_id &service, residency_plan plan)
{
    m_plans[service] = std::move(plan);
}

const std::vector<held_model> *residency_reconciler::heldBy(const target_id &target) const
{
    const engine_report *report = reportOf(target);
    return report ? &report->models : nullptr;
}

bool residency_reconciler::hasReport(const target_id &target) const
{
    return heldBy(target) != nullptr;
}

std::optional<model_id> residency_reconciler::unloadingFrom(const target_id &target) const
{
    const auto found = m_engines.find(target);
    if (found == m_engines.end()) {
        return std::nullopt;
    }
    const engine &at = found->second;
    for (const std::optional<residency_order> *one : {&at.pendingUnload, &at.unanswered, &at.inProgress}) {
        if (*one && !(*one)->load && (*one)->adapter.empty()) {
            return (*one)->model;
        }
    }
    return std::nullopt;
}

std::set<model_id> residency_reconciler::recentlyLoadedAt(instant now, const target_id &target) const
{
    std::set<model_id> fresh;
    const auto found = m_engines.find(target);
    if (found == m_engines.end()) {
        return fresh;
    }
    for (const auto &[model, until] : found->second.recentlyLoadedUntil) {
        if (now < until) {
            fresh.insert(model);
        }
    }
    for (const std::optional<residency_order> *one : {&found->second.unanswered, &found->second.inProgress}) {
        if (*one && (*one)->load && (*one)->adapter.empty()) {
            fresh.insert((*one)->model);
        }
    }
    return fresh;
}

const engine_report *residency_reconciler::reportOf(const target_id &target) const
{
    const auto found = m_engines.find(target);
    return found == m_engines.end() || !found->second.known ? nullptr : &found->second.report;
}

void residency_reconciler::trackListedEngines(const target_pool &pool)
{
    std::erase_if(m_engines, [&pool](const auto &entry) {
        return pool.find(entry.first) == nullptr;
    });
    for (const auto &[id, target] : pool.targets()) {
        if (target.listed.isEngine && m_traits.contains(target.listed.service)) {
            m_engines[id].service = target.listed.service;
        }
    }
}

double residency_reconciler::usedMegabytes(const engine &at, const engine_traits &traits) const
{
    double megabytes = 0;
    for (const held_model &held : at.report.models) {
        const served_model *model = traits.find(held.model);
        if (!model) {
            // Of unknown size: nothing more fits for certain.
            return traits.megabytes;
        }
        megabytes += model->megabytes + model->adapterMegabytes * static_cast<double>(held.adapters.size());
    }
    return megabytes;
}

void residency_reconciler::issueOrder(instant now, engine &at, residency_order order, residency_actions &actions)
{
    order.expected = at.report.orderCount;
    at.unanswered = order;
    at.unansweredSince = now;
    at.unansweredUsesStore = order.load && order.adapter.empty() && !at.report.cachedModels.contains(order.model);
    m_lastOrder = now;
    m_orders += 1;
    m_log.write(now,
                log_line("order")
                    .with("target", order.target)
                    .with("op", order.load ? "load" : "unload")
                    .with("model", order.model)
                    .with("adapter", order.adapter)
                    .with("expected", order.expected));
    actions.orders.push_back(std::move(order));
}

bool residency_reconciler::mayStartLoad(instant now, const engine_traits &traits, double loadSeconds)
{
    while (!m_loadStarts.empty() && now - m_loadStarts.front() > m_limits.window) {
        m_loadStarts.pop_front();
    }
    const double windowSeconds = std::chrono::duration<double>(m_limits.window).count();
    // Orders without an answer may be carried out at any moment yet, beyond the window in which they were sent.
    const auto unresolved = std::ranges::count_if(m_engines, [now, this](const auto &entry) {
        return entry.second.unanswered && entry.second.unansweredUsesStore && now - entry.second.unansweredSince > m_limits.window;
    });
    const auto starts = static_cast<double>(m_loadStarts.size()) + static_cast<double>(unresolved);
    if (now < m_storeLoadsFrom || starts + 1 > traits.loadsPerSecond * windowSeconds * m_limits.rateFactor) {
        return false;
    }
    // More at once than the store sends at full speed would slow all of them down.
    const double atOnce = std::max(1.0, traits.loadsPerSecond * loadSeconds);
    double underWay = 0;
    for (const auto &[id, at] : m_engines) {
        underWay += at.inProgress && at.inProgress->load ? 1 : 0;
        underWay += at.unanswered && at.unanswered->load && at.unanswered->adapter.empty() ? 1 : 0;
    }
    return underWay + 1 <= atOnce;
}

std::size_t residency_reconciler::confirmedCopies(const model_id &model, const target_id &except, const target_pool &pool) const
{
    std::size_t copies = 0;
    for (const auto &[id, at] : m_engines) {
        const pool_target *target = pool.find(id);
        if (id == except || !target || !target->takesNew() || !at.known || !holdsModel(at.report.models, model)) {
            continue;
        }
        const bool goes = (at.pendingUnload && at.pendingUnload->model == model) || (at.unanswered && !at.unanswered->load && at.unanswered->model == model)
            || (at.inProgress && at.inProgress->model == model);
        copies += goes ? 0 : 1;
    }
    return copies;
}

/// Whether \p from may drop \p model: another engine holds it for certain, or the plan lets its last copy go.
bool residency_reconciler::mayUnload(const model_id &model, const service_id &service, const target_id &from, const target_pool &pool) const
{
    const auto plan = m_plans.find(service);
    return confirmedCopies(model, from, pool) > 0 || (plan != m_plans.end() && plan->second.evictable.contains(model));
}

bool residency_reconciler::isPlanned(const model_id &model, const engine &at, const target_id &id) const
{
    const auto plan = m_plans.find(at.service);
    const wanted_target *wanted = plan == m_plans.end() ? nullptr : plan->second.wanted.find(id);
    return wanted && std::any_of(wanted->models.begin(), wanted->models.end(), [&model](const resident_model &one) {
               return one.model == model;
           });
}

/// Starts the unload of a model that the plan doesn't want there and that may go.
bool residency_reconciler::startUnloadForRoom(instant now, const target_pool &pool, engine &at, const target_id &id, residency_actions &actions)
{
    for (const held_model &held : at.report.models) {
        if (isPlanned(held.model, at, id) || !mayUnload(held.model, at.service, id, pool)) {
            continue;
        }
        at.pendingUnload = residency_order{id, pool.find(id)->listed.address, false, held.model, {}, 0};
        at.unloadAt = now + unloadDelay;
        actions.news.push_back({id, held.model, {}, false});
        return true;
    }
    return false;
}

bool residency_reconciler::startLoad(instant now, const target_pool &pool, const wanted_load &load, residency_actions &actions)
{
    const auto found = m_engines.find(load.target);
    const pool_target *target = pool.find(load.target);
    if (found == m_engines.end() || !target || !target->takesNew()) {
        return false;
    }
    engine &at = found->second;
    const engine_traits &traits = m_traits.at(at.service);
    const served_model *model = traits.find(load.model);
    if (!model || !at.known || at.report.busy || at.unanswered || at.inProgress || at.pendingUnload || holdsModel(at.report.models, load.model)) {
        return false;
    }
    const bool fromStore = !at.report.cachedModels.contains(load.model);
    if (fromStore && !mayStartLoad(now, traits, model->loadSeconds)) {
        return false;
    }
    if (usedMegabytes(at, traits) + model->megabytes > traits.megabytes) {
        return startUnloadForRoom(now, pool, at, load.target, actions);
    }
    if (fromStore) {
        m_loadStarts.push_back(now);
    }
    issueOrder(now, at, {load.target, target->listed.address, true, load.model, {}, 0}, actions);
    return true;
}

void residency_reconciler::startPlannedLoads(instant now, const target_pool &pool, residency_actions &actions)
{
    for (const auto &[service, plan] : m_plans) {
        for (const wanted_load &load : plan.wanted.loads) {
            if (load.adapter.empty()) {
                startLoad(now, pool, load, actions);
            }
        }
    }
}

/// Unloads whose news has spread.
void residency_reconciler::startPendingUnloads(instant now, const target_pool &pool, residency_actions &actions)
{
    for (auto &[id, at] : m_engines) {
        if (!at.pendingUnload || now < at.unloadAt || at.unanswered) {
            continue;
        }
        const residency_order order = *at.pendingUnload;
        at.pendingUnload.reset();
        const bool isResident = at.known && !at.report.busy && holdsModel(at.report.models, order.model);
        // A later plan may want it here after all.
        if (!isResident || isPlanned(order.model, at, id) || !mayUnload(order.model, at.service, id, pool)) {
            if (at.known && holdsModel(at.report.models, order.model)) {
                actions.news.push_back({id, order.model, {}, true});
            }
            continue;
        }
        issueOrder(now, at, order, actions);
    }
}

void residency_reconciler::requestReports(instant now, residency_actions &actions)
{
    for (auto &[id, at] : m_engines) {
        const bool needed = !at.known || at.inProgress || at.report.busy;
        if (needed && !at.reportRequested && !at.unanswered && now >= at.nextReportAt) {
            at.reportRequested = true;
            actions.reports.push_back(id);
        }
    }
}

/// An engine lists a model until its last run is over, and refuses requests for it meanwhile. VMs believe
/// news for 3 s, so it is told again while the unload lasts.
void residency_reconciler::reannounceUnloads(instant now, residency_actions &actions)
{
    for (auto &[id, at] : m_engines) {
        const bool unloads = at.inProgress && !at.inProgress->load;
        if (unloads && now - at.lastAnnouncedAt > reannounceInterval) {
            at.lastAnnouncedAt = now;
            actions.news.push_back({id, at.inProgress->model, {}, false});
        }
    }
}

residency_actions residency_reconciler::step(instant now, const target_pool &pool)
{
    residency_actions actions;
    trackListedEngines(pool);
    for (auto &[id, at] : m_engines) {
        if (at.unanswered && at.resendDue && now >= *at.resendDue) {
            at.resendDue.reset();
            m_lastOrder = now;
            actions.orders.push_back(*at.unanswered);
        }
    }
    serveAdapterWants(now, pool, actions);
    prefetchAdapters(now, pool, actions);
    startPendingUnloads(now, pool, actions);
    startPlannedLoads(now, pool, actions);
    requestReports(now, actions);
    reannounceUnloads(now, actions);
    for (const scheduled_news &due : m_scheduledNews) {
        if (due.at <= now) {
            actions.news.push_back(due.news);
        }
    }
    std::erase_if(m_scheduledNews, [now](const scheduled_news &due) {
        return due.at <= now;
    });
    return actions;
}

} // namespace fuchsialoom
