/// \file
/// What the keeper learns: reports of engines, and answers to its orders.
#include "held_models.h"

namespace fuchsialoom
{

/// An order whose answer was lost is sent again after this.
static constexpr milliseconds resendDelay{150};
/// From an adapter's order until requests are sent there: a load takes 5 to 10 ms, and a request that
/// comes before its end is refused.
static constexpr milliseconds adapterLoadDelay{25};
/// A report shows what was up to so long ago, with a margin: engines tell their state of 200 ms before.
static constexpr milliseconds reportLag{400};
/// An order that is answered later than this may have been carried out only now.
static constexpr milliseconds promptAnswerTime{300};
/// After a report that didn't come.
static constexpr milliseconds reportRetryDelay{400};
/// The first look at a load: the quickest take 0.4 s.
static constexpr milliseconds firstLoadCheck{350};
/// An unload that waits for runs takes up its adapter's place for so long: streams last 4 s at most but
/// for one in a hundred.
static constexpr milliseconds adapterDrainTime{5000};
/// An unanswered order's load that no report shows by then counts as lost, and is ordered anew if wanted.
static constexpr seconds lostOrderTimeout{20};

void residency_reconciler::onReport(instant now, const target_id &target, const engine_report &report)
{
    const auto found = m_engines.find(target);
    if (found == m_engines.end()) {
        return;
    }
    engine &at = found->second;
    at.reportRequested = false;
    // The report lags behind its question, so it may miss what was accepted since.
    const bool isOutdated = at.known && report.orderCount < at.report.orderCount;
    if (isOutdated) {
        at.nextReportAt = now + loadReportInterval;
        return;
    }
    at.known = true;
    at.report.orderCount = report.orderCount;
    at.report.busy = report.busy;
    std::optional<held_model> unloading;
    if (report.busy && at.inProgress && !at.inProgress->load) {
        // It takes its room until the unload is over, whether the report still names it or not.
        const held_model *held = findModel(at.report.models, at.inProgress->model);
        unloading = held ? std::optional(*held) : std::nullopt;
    }
    at.report.models = report.models;
    if (unloading && !holdsModel(at.report.models, unloading->model)) {
        at.report.models.push_back(*unloading);
    }
    for (const adapter_key &coming : report.pending) {
        if (held_model *held = findModel(at.report.models, coming.first)) {
            held->adapters.insert(coming.second);
        }
    }
    std::erase_if(at.drainingAdapters, [now](const auto &one) {
        return now - one.second > adapterDrainTime;
    });
    at.report.cachedModels = report.cachedModels;
    at.report.memoryCachedModels = report.memoryCachedModels;
    if (report.busy) {
        at.nextReportAt = now + loadReportInterval;
        return;
    }
    completeOrder(now, target, at);
}

/// The engine is idle: what was under way there has happened, or never will.
void residency_reconciler::completeOrder(instant now, const target_id &id, engine &at)
{
    if (!at.inProgress) {
        return;
    }
    const residency_order order = *at.inProgress;
    const bool isHeld = holdsModel(at.report.models, order.model);
    const auto duration = std::chrono::duration_cast<milliseconds>(now - at.inProgressSince);
    if (isHeld != order.load && now - at.inProgressSince < lostOrderTimeout && at.report.orderCount <= order.expected) {
        at.nextReportAt = now + loadReportInterval;
        return;
    }
    m_log.write(now,
                log_line("order-done")
                    .with("target", id)
                    .with("op", order.load ? "load" : "unload")
                    .with("model", order.model)
                    .with("held", isHeld ? "yes" : "no")
                    .with("took-ms", duration));
    m_scheduledNews.push_back({now, {id, order.model, {}, isHeld}});
    std::erase_if(at.recentlyLoadedUntil, [now](const auto &one) {
        return now >= one.second;
    });
    if (order.load && isHeld) {
        at.recentlyLoadedUntil[order.model] = now + duration;
    }
    at.inProgress.reset();
}

void residency_reconciler::onReportFailed(instant now, const target_id &target)
{
    const auto found = m_engines.find(target);
    if (found != m_engines.end()) {
        found->second.reportRequested = false;
        found->second.nextReportAt = now + reportRetryDelay;
    }
}

void residency_reconciler::applyOrder(engine &at, const residency_order &order)
{
    held_model *held = findModel(at.report.models, order.model);
    if (order.adapter.empty()) {
        if (order.load && !held) {
            at.report.models.push_back({order.model, {}});
        } else if (!order.load && held) {
            std::erase_if(at.report.models, [&order](const held_model &one) {
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
    m_log.write(now,
                log_line("order-answered")
                    .with("target", order.target)
                    .with("op", order.load ? "load" : "unload")
                    .with("model", order.model)
                    .with("adapter", order.adapter)
                    .with("expected", order.expected)
                    .with("result", result));
    const auto found = m_engines.find(order.target);
    if (found == m_engines.end() || found->second.unanswered != order) {
        return;
    }
    engine &at = found->second;
    if (result != order_result::Unknown && at.unansweredUsesStore && now - at.unansweredSince > promptAnswerTime) {
        m_loadStarts.push_back(now);
    }
    switch (result) {
    case order_result::Unknown:
        at.resendDue = now + resendDelay;
        return;
    case order_result::Conflict:
    case order_result::Refused:
        if (!order.load && !order.adapter.empty()) {
            // An earlier send of it may have been carried out, with an answer that was lost.
            at.drainingAdapters[{order.model, order.adapter}] = now;
        }
        at.unanswered.reset();
        at.known = false;
        // A report that is older than the conflict could show the state before it.
        at.nextReportAt = now + reportLag;
        return;
    case order_result::Accepted:
        at.report.orderCount = order.expected + 1;
        break;
    case order_result::AlreadyApplied:
        // An adapter that nothing uses is unloaded at once, which this answer says as well; it counts as
        // an order. Where it wasn't held the count stays, and the next order meets a conflict.
        at.report.orderCount = order.expected + (!order.load && !order.adapter.empty() ? 1 : 0);
        break;
    }
    at.unanswered.reset();
    const bool appliesOnCompletion = result == order_result::Accepted && order.adapter.empty() && !order.load;
    if (!appliesOnCompletion) {
        applyOrder(at, order);
    }
    if (!order.load && !order.adapter.empty() && result == order_result::Accepted) {
        at.drainingAdapters[{order.model, order.adapter}] = now;
    }
    if (!order.adapter.empty()) {
        m_scheduledNews.push_back({now + (result == order_result::Accepted && order.load ? adapterLoadDelay : milliseconds(0)),
                         {order.target, order.model, order.adapter, order.load}});
        return;
    }
    if (result == order_result::AlreadyApplied) {
        m_scheduledNews.push_back({now, {order.target, order.model, {}, order.load}});
        return;
    }
    at.report.busy = true;
    at.inProgress = order;
    at.inProgressSince = now;
    at.nextReportAt = now + (order.load ? firstLoadCheck : loadReportInterval);
}

} // namespace fuchsialoom
