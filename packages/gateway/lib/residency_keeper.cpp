/// \file
/// What the keeper orders of models. Adapters are in residency_adapters.cpp, what it learns in
/// residency_answers.cpp.
#include "fuchsialoom/gateway/residency_keeper.h"

#include "held_models.h"

#include <algorithm>

namespace fuchsialoom
{

/// From the news that a model goes until its unload: requests on their way still find it.
static constexpr milliseconds unloadSettle{120};
/// Between two times that an unload under way is told.
static constexpr milliseconds newsAgain{1000};
/// What is left of a departure after the turn between two holders, 3 s on all deployments.
static constexpr milliseconds afterTurn{2000};
/// The least turn between two holders: loads that another VM ordered are at least so old when this one begins.
static constexpr milliseconds leastTurn{3000};

residency_keeper::residency_keeper(load_limits limits, decision_log &log)
    : m_limits(limits)
    , m_log(log)
{
}

void residency_keeper::reset(instant now)
{
    // The other's last order is a turn ago already.
    m_adaptersFrom = now + afterTurn;
    // It may have used up the store's rate right before its turn ended.
    m_storeFrom = now + std::max(milliseconds(0), m_limits.window - leastTurn);
    m_loadStarts.clear();
    m_engines.clear();
    m_wants.clear();
    m_plans.clear();
    m_due.clear();
}

void residency_keeper::setTraits(const service_id &service, const engine_traits &traits)
{
    m_traits[service] = traits;
}

void residency_keeper::setPlan(const service_id &service, residency_plan plan)
{
    m_plans[service] = std::move(plan);
}

const std::vector<held_model> *residency_keeper::heldBy(const target_id &target) const
{
    const engine_report *report = reportOf(target);
    return report ? &report->models : nullptr;
}

bool residency_keeper::isReported(const target_id &target) const
{
    return heldBy(target) != nullptr;
}

std::optional<model_id> residency_keeper::goingFrom(const target_id &target) const
{
    const auto found = m_engines.find(target);
    if (found == m_engines.end()) {
        return std::nullopt;
    }
    const engine &at = found->second;
    for (const std::optional<residency_order> *one : {&at.retiring, &at.sent, &at.loading}) {
        if (*one && !(*one)->load && (*one)->adapter.empty()) {
            return (*one)->model;
        }
    }
    return std::nullopt;
}

std::set<model_id> residency_keeper::freshAt(instant now, const target_id &target) const
{
    std::set<model_id> fresh;
    const auto found = m_engines.find(target);
    if (found == m_engines.end()) {
        return fresh;
    }
    for (const auto &[model, until] : found->second.freshUntil) {
        if (now < until) {
            fresh.insert(model);
        }
    }
    for (const std::optional<residency_order> *one : {&found->second.sent, &found->second.loading}) {
        if (*one && (*one)->load && (*one)->adapter.empty()) {
            fresh.insert((*one)->model);
        }
    }
    return fresh;
}

const engine_report *residency_keeper::reportOf(const target_id &target) const
{
    const auto found = m_engines.find(target);
    return found == m_engines.end() || !found->second.known ? nullptr : &found->second.report;
}

void residency_keeper::syncEngines(const target_pool &pool)
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

double residency_keeper::megabytesOf(const engine &at, const engine_traits &traits) const
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

void residency_keeper::handOut(instant now, engine &at, residency_order order, residency_steps &steps)
{
    order.expected = at.report.orderCount;
    at.sent = order;
    at.sentAt = now;
    at.sentUsesStore = order.load && order.adapter.empty() && !at.report.atHand.contains(order.model);
    m_lastOrder = now;
    m_orders += 1;
    m_log.write(now,
                log_line("order")
                    .with("target", order.target)
                    .with("op", order.load ? "load" : "unload")
                    .with("model", order.model)
                    .with("adapter", order.adapter)
                    .with("expected", order.expected));
    steps.orders.push_back(std::move(order));
}

bool residency_keeper::mayStartLoad(instant now, const engine_traits &traits, double loadSeconds)
{
    while (!m_loadStarts.empty() && now - m_loadStarts.front() > m_limits.window) {
        m_loadStarts.pop_front();
    }
    const double windowSeconds = std::chrono::duration<double>(m_limits.window).count();
    // Orders without an answer may be carried out at any moment yet, beyond the window in which they were sent.
    const auto unresolved = std::ranges::count_if(m_engines, [now, this](const auto &entry) {
        return entry.second.sent && entry.second.sentUsesStore && now - entry.second.sentAt > m_limits.window;
    });
    const auto starts = static_cast<double>(m_loadStarts.size()) + static_cast<double>(unresolved);
    if (now < m_storeFrom || starts + 1 > traits.loadsPerSecond * windowSeconds * m_limits.excess) {
        return false;
    }
    // More at once than the store sends at full speed would slow all of them down.
    const double atOnce = std::max(1.0, traits.loadsPerSecond * loadSeconds);
    double underWay = 0;
    for (const auto &[id, at] : m_engines) {
        underWay += at.loading && at.loading->load ? 1 : 0;
        underWay += at.sent && at.sent->load && at.sent->adapter.empty() ? 1 : 0;
    }
    return underWay + 1 <= atOnce;
}

std::size_t residency_keeper::certainCopies(const model_id &model, const target_id &except, const target_pool &pool) const
{
    std::size_t copies = 0;
    for (const auto &[id, at] : m_engines) {
        const pool_target *target = pool.find(id);
        if (id == except || !target || !target->takesNew() || !at.known || !holdsModel(at.report.models, model)) {
            continue;
        }
        const bool goes = (at.retiring && at.retiring->model == model) || (at.sent && !at.sent->load && at.sent->model == model)
            || (at.loading && at.loading->model == model);
        copies += goes ? 0 : 1;
    }
    return copies;
}

/// Whether \p from may drop \p model: another engine holds it for certain, or the plan lets its last copy go.
bool residency_keeper::mayGo(const model_id &model, const service_id &service, const target_id &from, const target_pool &pool) const
{
    const auto plan = m_plans.find(service);
    return certainCopies(model, from, pool) > 0 || (plan != m_plans.end() && plan->second.yielding.contains(model));
}

bool residency_keeper::isWanted(const model_id &model, const engine &at, const target_id &id) const
{
    const auto plan = m_plans.find(at.service);
    const wanted_target *wanted = plan == m_plans.end() ? nullptr : plan->second.wanted.find(id);
    return wanted && std::any_of(wanted->models.begin(), wanted->models.end(), [&model](const resident_model &one) {
               return one.model == model;
           });
}

/// Starts the unload of a model that the plan doesn't want there and that may go.
bool residency_keeper::makeRoom(instant now, const target_pool &pool, engine &at, const target_id &id, residency_steps &steps)
{
    for (const held_model &held : at.report.models) {
        if (isWanted(held.model, at, id) || !mayGo(held.model, at.service, id, pool)) {
            continue;
        }
        at.retiring = residency_order{id, pool.find(id)->listed.address, false, held.model, {}, 0};
        at.retireAt = now + unloadSettle;
        steps.news.push_back({id, held.model, {}, false});
        return true;
    }
    return false;
}

bool residency_keeper::startLoad(instant now, const target_pool &pool, const wanted_load &load, residency_steps &steps)
{
    const auto found = m_engines.find(load.target);
    const pool_target *target = pool.find(load.target);
    if (found == m_engines.end() || !target || !target->takesNew()) {
        return false;
    }
    engine &at = found->second;
    const engine_traits &traits = m_traits.at(at.service);
    const served_model *model = traits.find(load.model);
    if (!model || !at.known || at.report.busy || at.sent || at.loading || at.retiring || holdsModel(at.report.models, load.model)) {
        return false;
    }
    const bool fromStore = !at.report.atHand.contains(load.model);
    if (fromStore && !mayStartLoad(now, traits, model->loadSeconds)) {
        return false;
    }
    if (megabytesOf(at, traits) + model->megabytes > traits.megabytes) {
        return makeRoom(now, pool, at, load.target, steps);
    }
    if (fromStore) {
        m_loadStarts.push_back(now);
    }
    handOut(now, at, {load.target, target->listed.address, true, load.model, {}, 0}, steps);
    return true;
}

void residency_keeper::followPlan(instant now, const target_pool &pool, residency_steps &steps)
{
    for (const auto &[service, plan] : m_plans) {
        for (const wanted_load &load : plan.wanted.loads) {
            if (load.adapter.empty()) {
                startLoad(now, pool, load, steps);
            }
        }
    }
}

/// Unloads whose news has spread.
void residency_keeper::retire(instant now, const target_pool &pool, residency_steps &steps)
{
    for (auto &[id, at] : m_engines) {
        if (!at.retiring || now < at.retireAt || at.sent) {
            continue;
        }
        const residency_order order = *at.retiring;
        at.retiring.reset();
        const bool isStill = at.known && !at.report.busy && holdsModel(at.report.models, order.model);
        // A later plan may want it here after all.
        if (!isStill || isWanted(order.model, at, id) || !mayGo(order.model, at.service, id, pool)) {
            if (at.known && holdsModel(at.report.models, order.model)) {
                steps.news.push_back({id, order.model, {}, true});
            }
            continue;
        }
        handOut(now, at, order, steps);
    }
}

void residency_keeper::askReports(instant now, residency_steps &steps)
{
    for (auto &[id, at] : m_engines) {
        const bool needed = !at.known || at.loading || at.report.busy;
        if (needed && !at.asked && !at.sent && now >= at.askAt) {
            at.asked = true;
            steps.reports.push_back(id);
        }
    }
}

/// An engine lists a model until its last run is over, and refuses requests for it meanwhile. VMs believe
/// news for 3 s, so it is told again while the unload lasts.
void residency_keeper::repeatNews(instant now, residency_steps &steps)
{
    for (auto &[id, at] : m_engines) {
        const bool unloads = at.loading && !at.loading->load;
        if (unloads && now - at.toldAt > newsAgain) {
            at.toldAt = now;
            steps.news.push_back({id, at.loading->model, {}, false});
        }
    }
}

residency_steps residency_keeper::step(instant now, const target_pool &pool)
{
    residency_steps steps;
    syncEngines(pool);
    for (auto &[id, at] : m_engines) {
        if (at.sent && at.resendAt && now >= *at.resendAt) {
            at.resendAt.reset();
            m_lastOrder = now;
            steps.orders.push_back(*at.sent);
        }
    }
    serveWants(now, pool, steps);
    prefetchAdapters(now, pool, steps);
    retire(now, pool, steps);
    followPlan(now, pool, steps);
    askReports(now, steps);
    repeatNews(now, steps);
    for (const due_news &due : m_due) {
        if (due.at <= now) {
            steps.news.push_back(due.news);
        }
    }
    std::erase_if(m_due, [now](const due_news &due) {
        return due.at <= now;
    });
    return steps;
}

} // namespace fuchsialoom
