/// \file
/// Handling of engine reports and of answers to orders.
#include "held_models.h"

namespace fuchsialoom
{

/// Delay before an order whose answer was lost is resent.
static constexpr milliseconds resendDelay{150};
/// Delay from the acceptance of an adapter load until it is announced to the VMs: a load takes 5 to 10 ms, and the
/// engine refuses requests that arrive before it ends.
static constexpr milliseconds adapterLoadDelay{25};
/// Upper bound on the age of the state in a report: engines report their state of 200 ms before, plus a margin.
static constexpr milliseconds reportLag{400};
/// Delay before the next request after a report failed.
static constexpr milliseconds reportRetryDelay{400};
/// Delay from the acceptance of a model load to the first report request: the fastest loads take 0.4 s.
static constexpr milliseconds firstLoadCheck{350};

void residency_reconciler::onReport(instant now, const target_id &target, const engine_report &report)
{
    const auto found = m_engines.find(target);
    if (found == m_engines.end()) {
        return;
    }
    engine_state &state = found->second;
    state.reportRequested = false;
    m_storeLoads.onOrderCount(now, target, report.orderCount);
    // The report shows an earlier state and may miss orders accepted since.
    const bool isOutdated = state.reportValid && report.orderCount < state.report.orderCount;
    if (isOutdated) {
        state.nextReportAt = now + loadReportInterval;
        return;
    }
    state.reportValid = true;
    state.report.orderCount = report.orderCount;
    state.report.busy = report.busy;
    std::optional<held_model> unloading;
    if (report.busy && state.inProgress && !state.inProgress->load) {
        // The model occupies its memory until the unload ends, even if the report no longer lists it.
        const held_model *held = findModel(state.report.models, state.inProgress->model);
        unloading = held ? std::optional(*held) : std::nullopt;
    }
    state.report.models = report.models;
    if (unloading && !holdsModel(state.report.models, unloading->model)) {
        state.report.models.push_back(*unloading);
    }
    for (const adapter_key &coming : report.pending) {
        if (held_model *held = findModel(state.report.models, coming.first)) {
            held->adapters.insert(coming.second);
        }
    }
    std::erase_if(state.drainingAdapters, [now](const auto &one) {
        return now - one.second > adapterDrainTime;
    });
    state.report.cachedModels = report.cachedModels;
    state.report.memoryCachedModels = report.memoryCachedModels;
    if (report.busy) {
        state.nextReportAt = now + loadReportInterval;
        return;
    }
    completeOrder(now, target, state);
}

/// Completes the order in progress after a report that the engine is idle: the order took effect or never will.
void residency_reconciler::completeOrder(instant now, const target_id &id, engine_state &state)
{
    if (!state.inProgress) {
        return;
    }
    const residency_order order = *state.inProgress;
    const bool isHeld = holdsModel(state.report.models, order.model);
    const auto duration = std::chrono::duration_cast<milliseconds>(now - state.inProgressSince);
    if (isHeld != order.load && now - state.inProgressSince < lostOrderTimeout && state.report.orderCount <= order.expected) {
        state.nextReportAt = now + loadReportInterval;
        return;
    }
    m_log.write(now,
                log_line("order-done")
                    .with("target", id)
                    .with("op", order.load ? "load" : "unload")
                    .with("model", order.model)
                    .with("held", isHeld ? "yes" : "no")
                    .with("took-ms", duration));
    m_scheduledChanges.push_back({now, {id, order.model, {}, isHeld}});
    std::erase_if(state.recentlyLoadedUntil, [now](const auto &one) {
        return now >= one.second;
    });
    if (order.load && isHeld) {
        state.recentlyLoadedUntil[order.model] = now + duration;
    }
    state.inProgress.reset();
}

void residency_reconciler::onReportFailed(instant now, const target_id &target)
{
    const auto found = m_engines.find(target);
    if (found != m_engines.end()) {
        found->second.reportRequested = false;
        found->second.nextReportAt = now + reportRetryDelay;
    }
}

void residency_reconciler::applyOrder(engine_state &state, const residency_order &order)
{
    held_model *held = findModel(state.report.models, order.model);
    if (order.adapter.empty()) {
        if (order.load && !held) {
            state.report.models.push_back({order.model, {}});
        } else if (!order.load && held) {
            std::erase_if(state.report.models, [&order](const held_model &one) {
                return one.model == order.model;
            });
        }
    } else if (held && order.load) {
        held->adapters.insert(order.adapter);
    } else if (held) {
        held->adapters.erase(order.adapter);
    }
}

void residency_reconciler::onOrdered(instant now, const residency_order &order, order_result result)
{
    const auto found = m_engines.find(order.target);
    const bool isExpected = found != m_engines.end() && found->second.unanswered == order;
    const auto duration = isExpected ? now - found->second.unansweredSince : instant::duration::zero();
    m_log.write(now,
                log_line("order-answered")
                    .with("target", order.target)
                    .with("op", order.load ? "load" : "unload")
                    .with("model", order.model)
                    .with("adapter", order.adapter)
                    .with("expected", order.expected)
                    .with("result", result)
                    .with("took-ms", std::chrono::duration_cast<milliseconds>(duration)));
    if (result == order_result::Accepted) {
        m_storeLoads.onOrderCount(now, order.target, order.expected + 1);
    } else if (result != order_result::Unknown && order.load && order.adapter.empty()) {
        m_storeLoads.onSettled(now, order.target, order.model);
    }
    if (!isExpected) {
        return;
    }
    engine_state &state = found->second;
    switch (result) {
    case order_result::Unknown:
        state.resendDue = now + resendDelay;
        return;
    case order_result::Conflict:
    case order_result::Refused:
        if (!order.load && !order.adapter.empty()) {
            // An earlier copy of the order may have been executed and its answer lost.
            state.drainingAdapters[{order.model, order.adapter}] = now;
        }
        state.unanswered.reset();
        state.reportValid = false;
        // An earlier report could show the state before the conflict.
        state.nextReportAt = now + reportLag;
        return;
    case order_result::Accepted:
        state.report.orderCount = order.expected + 1;
        break;
    case order_result::AlreadyApplied:
        // The unload of an unused adapter takes effect at once and gets this answer too, with the order count
        // incremented. If the adapter wasn't held, the count is unchanged and the next order gets a conflict.
        state.report.orderCount = order.expected + (!order.load && !order.adapter.empty() ? 1 : 0);
        break;
    }
    state.unanswered.reset();
    const bool appliesOnCompletion = result == order_result::Accepted && order.adapter.empty() && !order.load;
    if (!appliesOnCompletion) {
        applyOrder(state, order);
    }
    if (!order.load && !order.adapter.empty() && result == order_result::Accepted) {
        state.drainingAdapters[{order.model, order.adapter}] = now;
    }
    if (!order.adapter.empty()) {
        m_scheduledChanges.push_back({now + (result == order_result::Accepted && order.load ? adapterLoadDelay : milliseconds(0)),
                                      {order.target, order.model, order.adapter, order.load}});
        return;
    }
    if (result == order_result::AlreadyApplied) {
        m_scheduledChanges.push_back({now, {order.target, order.model, {}, order.load}});
        return;
    }
    state.report.busy = true;
    state.inProgress = order;
    state.inProgressSince = now;
    state.nextReportAt = now + (order.load ? firstLoadCheck : loadReportInterval);
}

} // namespace fuchsialoom
