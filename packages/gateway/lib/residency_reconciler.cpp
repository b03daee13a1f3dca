/// \file
/// Model orders. Adapters are handled in residency_adapters.cpp, reports and answers in residency_reports.cpp.
#include "fuchsialoom/gateway/residency_reconciler.h"

#include "held_models.h"

#include <algorithm>

namespace fuchsialoom
{

/// Delay from the announcement of an unload to its order, so that requests in transit still find the model.
static constexpr milliseconds unloadDelay{120};
/// Interval at which an unload in progress is announced again.
static constexpr milliseconds reannounceInterval{1000};

residency_reconciler::residency_reconciler(store_load_limits limits, milliseconds handoverTime, decision_log &log)
    : m_handoverTime(handoverTime)
    , m_log(log)
    , m_storeLoads(limits)
{
}

void residency_reconciler::reset(instant now)
{
    const instant lastOrderAt = now - m_handoverTime;
    m_adapterMovesFrom = lastOrderAt + adapterDrainTime;
    m_storeLoads.onTakeover(lastOrderAt);
    m_log.write(now,
                log_line("orders-reset")
                    .with("store-loads", m_storeLoads.taken())
                    .with("unsettled", m_storeLoads.unsettled())
                    .with("store-loads-in-ms", std::chrono::duration_cast<milliseconds>(m_storeLoads.issuesFrom() - now)));
    m_engines.clear();
    m_adapterRequests.clear();
    m_plans.clear();
    m_scheduledChanges.clear();
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
    const engine_state &state = found->second;
    for (const std::optional<residency_order> *one : {&state.pendingUnload, &state.unanswered, &state.inProgress}) {
        if (*one && !(*one)->load && (*one)->adapter.empty()) {
            return (*one)->model;
        }
    }
    return std::nullopt;
}

std::set<model_id> residency_reconciler::recentlyLoadedAt(instant now, const target_id &target) const
{
    std::set<model_id> recent;
    const auto found = m_engines.find(target);
    if (found == m_engines.end()) {
        return recent;
    }
    for (const auto &[model, until] : found->second.recentlyLoadedUntil) {
        if (now < until) {
            recent.insert(model);
        }
    }
    for (const std::optional<residency_order> *one : {&found->second.unanswered, &found->second.inProgress}) {
        if (*one && (*one)->load && (*one)->adapter.empty()) {
            recent.insert((*one)->model);
        }
    }
    return recent;
}

const engine_report *residency_reconciler::reportOf(const target_id &target) const
{
    const auto found = m_engines.find(target);
    return found == m_engines.end() || !found->second.reportValid ? nullptr : &found->second.report;
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

double residency_reconciler::usedMegabytes(const engine_state &state, const engine_traits &traits) const
{
    double megabytes = 0;
    for (const held_model &held : state.report.models) {
        const served_model *model = traits.find(held.model);
        if (!model) {
            // The size is unknown, so assume that the engine is full.
            return traits.megabytes;
        }
        megabytes += model->megabytes + model->adapterMegabytes * static_cast<double>(held.adapters.size());
    }
    return megabytes;
}

void residency_reconciler::issueOrder(instant now, engine_state &state, residency_order order, residency_actions &actions)
{
    order.expected = state.report.orderCount;
    state.unanswered = order;
    state.unansweredSince = now;
    state.unansweredFromStore = order.load && order.adapter.empty() && !state.report.cachedModels.contains(order.model);
    m_lastOrder = now;
    m_orders += 1;
    m_log.write(now,
                log_line("order")
                    .with("target", order.target)
                    .with("op", order.load ? "load" : "unload")
                    .with("model", order.model)
                    .with("adapter", order.adapter)
                    .with("expected", order.expected)
                    .with("from-store", state.unansweredFromStore ? "yes" : "no")
                    .with("store-loads", m_storeLoads.taken()));
    if (state.unansweredFromStore) {
        m_storeLoads.onIssued(now, order.target, order.model, order.expected);
        m_storeLoadOrders += 1;
    }
    actions.orders.push_back(std::move(order));
}

bool residency_reconciler::mayLoadFromStore(instant now, const engine_traits &traits, double loadSeconds)
{
    if (!m_storeLoads.mayIssue(now, traits.loadsPerSecond)) {
        return false;
    }
    // More concurrent loads than the store serves at full speed would slow each other down.
    const double atOnce = std::max(1.0, traits.loadsPerSecond * loadSeconds);
    double underWay = 0;
    for (const auto &[id, state] : m_engines) {
        underWay += state.inProgress && state.inProgress->load ? 1 : 0;
        underWay += state.unanswered && state.unanswered->load && state.unanswered->adapter.empty() ? 1 : 0;
    }
    return underWay + 1 <= atOnce;
}

std::size_t residency_reconciler::confirmedCopies(const model_id &model, const target_id &except, const target_pool &pool) const
{
    std::size_t copies = 0;
    for (const auto &[id, state] : m_engines) {
        const pool_target *target = pool.find(id);
        if (id == except || !target || !target->takesNew() || !state.reportValid || !holdsModel(state.report.models, model)) {
            continue;
        }
        const bool goes = (state.pendingUnload && state.pendingUnload->model == model)
            || (state.unanswered && !state.unanswered->load && state.unanswered->model == model)
            || (state.inProgress && state.inProgress->model == model);
        copies += goes ? 0 : 1;
    }
    return copies;
}

/// Whether \p from may unload \p model: another engine certainly holds it, or the plan lists it as evictable.
bool residency_reconciler::mayUnload(const model_id &model, const service_id &service, const target_id &from, const target_pool &pool) const
{
    const auto plan = m_plans.find(service);
    return confirmedCopies(model, from, pool) > 0 || (plan != m_plans.end() && plan->second.evictable.contains(model));
}

bool residency_reconciler::isPlanned(const model_id &model, const engine_state &state, const target_id &id) const
{
    const auto plan = m_plans.find(state.service);
    const wanted_target *wanted = plan == m_plans.end() ? nullptr : plan->second.wanted.find(id);
    return wanted && std::any_of(wanted->models.begin(), wanted->models.end(), [&model](const resident_model &one) {
               return one.model == model;
           });
}

/// Schedules the unload of a model that isn't planned for this engine and may be unloaded, and announces it.
bool residency_reconciler::startUnloadForRoom(instant now,
                                              const target_pool &pool,
                                              engine_state &state,
                                              const target_id &id,
                                              residency_actions &actions)
{
    for (const held_model &held : state.report.models) {
        if (isPlanned(held.model, state, id) || !mayUnload(held.model, state.service, id, pool)) {
            continue;
        }
        state.pendingUnload = residency_order{id, pool.find(id)->listed.address, false, held.model, {}, 0};
        state.unloadAt = now + unloadDelay;
        actions.residencyChanges.push_back({id, held.model, {}, false});
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
    engine_state &state = found->second;
    const engine_traits &traits = m_traits.at(state.service);
    const served_model *model = traits.find(load.model);
    if (!model || !state.reportValid || state.report.busy || state.unanswered || state.inProgress || state.pendingUnload
        || holdsModel(state.report.models, load.model)) {
        return false;
    }
    const bool fromStore = !state.report.cachedModels.contains(load.model);
    if (fromStore && !mayLoadFromStore(now, traits, model->loadSeconds)) {
        return false;
    }
    if (usedMegabytes(state, traits) + model->megabytes > traits.megabytes) {
        return startUnloadForRoom(now, pool, state, load.target, actions);
    }
    issueOrder(now, state, {load.target, target->listed.address, true, load.model, {}, 0}, actions);
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

/// Issues the scheduled unloads whose announcement delay has passed.
void residency_reconciler::startPendingUnloads(instant now, const target_pool &pool, residency_actions &actions)
{
    for (auto &[id, state] : m_engines) {
        if (!state.pendingUnload || now < state.unloadAt || state.unanswered) {
            continue;
        }
        const residency_order order = *state.pendingUnload;
        state.pendingUnload.reset();
        const bool isResident = state.reportValid && !state.report.busy && holdsModel(state.report.models, order.model);
        // A later plan may place the model here again.
        if (!isResident || isPlanned(order.model, state, id) || !mayUnload(order.model, state.service, id, pool)) {
            if (state.reportValid && holdsModel(state.report.models, order.model)) {
                actions.residencyChanges.push_back({id, order.model, {}, true});
            }
            continue;
        }
        issueOrder(now, state, order, actions);
    }
}

void residency_reconciler::requestReports(instant now, residency_actions &actions)
{
    for (auto &[id, state] : m_engines) {
        const bool needed = !state.reportValid || state.inProgress || state.report.busy;
        if (needed && !state.reportRequested && !state.unanswered && now >= state.nextReportAt) {
            state.reportRequested = true;
            actions.reports.push_back(id);
        }
    }
}

/// Repeats the announcement of unloads in progress. An engine lists a model until its last request ends but refuses
/// new ones, and VMs trust an announcement over the listing for only 3 s.
void residency_reconciler::reannounceUnloads(instant now, residency_actions &actions)
{
    for (auto &[id, state] : m_engines) {
        const bool unloads = state.inProgress && !state.inProgress->load;
        if (unloads && now - state.lastAnnouncedAt > reannounceInterval) {
            state.lastAnnouncedAt = now;
            actions.residencyChanges.push_back({id, state.inProgress->model, {}, false});
        }
    }
}

void residency_reconciler::resendUnanswered(instant now, const target_id &id, engine_state &state, residency_actions &actions)
{
    state.resendDue.reset();
    if (state.unansweredFromStore && !m_storeLoads.onResent(now, id)) {
        // This VM couldn't send for so long that the load lost its place; the next plan decides anew.
        state.unanswered.reset();
        state.reportValid = false;
        return;
    }
    m_lastOrder = now;
    actions.orders.push_back(*state.unanswered);
}

residency_actions residency_reconciler::step(instant now, const target_pool &pool)
{
    residency_actions actions;
    trackListedEngines(pool);
    for (auto &[id, state] : m_engines) {
        if (state.unanswered && state.resendDue && now >= *state.resendDue) {
            resendUnanswered(now, id, state, actions);
        }
    }
    serveAdapterRequests(now, pool, actions);
    prefetchAdapters(now, pool, actions);
    startPendingUnloads(now, pool, actions);
    startPlannedLoads(now, pool, actions);
    requestReports(now, actions);
    reannounceUnloads(now, actions);
    for (const scheduled_change &due : m_scheduledChanges) {
        if (due.at <= now) {
            actions.residencyChanges.push_back(due.residencyChange);
        }
    }
    std::erase_if(m_scheduledChanges, [now](const scheduled_change &due) {
        return due.at <= now;
    });
    return actions;
}

} // namespace fuchsialoom
