/// \file
/// What the keeper learns: reports of engines, and answers to its orders.
#include "held_models.h"

namespace fuchsialoom
{

/// An order whose answer was lost is sent again after this.
static constexpr milliseconds resendPause{150};
/// From an adapter's order until requests are sent there: a load takes 5 to 10 ms, and a request that
/// comes before its end is refused.
static constexpr milliseconds adapterSettle{25};
/// A report shows what was up to so long ago, with a margin: engines tell their state of 200 ms before.
static constexpr milliseconds reportLag{400};
/// An order that is answered later than this may have been carried out only now.
static constexpr milliseconds promptAnswer{300};
/// After a report that didn't come.
static constexpr milliseconds reportRetry{400};
/// The first look at a load: the quickest take 0.4 s.
static constexpr milliseconds firstLook{350};
/// An unload that waits for runs takes up its adapter's place for so long: streams last 4 s at most but
/// for one in a hundred.
static constexpr milliseconds departure{5000};
/// An unanswered order's load that no report shows by then counts as lost, and is ordered anew if wanted.
static constexpr seconds loadLost{20};

void residency_keeper::onReport(instant now, const target_id &target, const engine_report &report)
{
    const auto found = m_engines.find(target);
    if (found == m_engines.end()) {
        return;
    }
    engine &at = found->second;
    at.asked = false;
    // The report lags behind its question, so it may miss what was accepted since.
    const bool behind = at.known && report.orderCount < at.report.orderCount;
    if (behind) {
        at.askAt = now + reportEvery;
        return;
    }
    at.known = true;
    at.report.orderCount = report.orderCount;
    at.report.busy = report.busy;
    std::optional<held_model> going;
    if (report.busy && at.loading && !at.loading->load) {
        // It takes its room until the unload is over, whether the report still names it or not.
        const held_model *held = findModel(at.report.models, at.loading->model);
        going = held ? std::optional(*held) : std::nullopt;
    }
    at.report.models = report.models;
    if (going && !holdsModel(at.report.models, going->model)) {
        at.report.models.push_back(*going);
    }
    for (const adapter_key &coming : report.pending) {
        if (held_model *held = findModel(at.report.models, coming.first)) {
            held->adapters.insert(coming.second);
        }
    }
    std::erase_if(at.departing, [now](const auto &one) {
        return now - one.second > departure;
    });
    at.report.atHand = report.atHand;
    at.report.inMemory = report.inMemory;
    if (report.busy) {
        at.askAt = now + reportEvery;
        return;
    }
    finishLoading(now, target, at);
}

/// The engine is idle: what was under way there has happened, or never will.
void residency_keeper::finishLoading(instant now, const target_id &id, engine &at)
{
    if (!at.loading) {
        return;
    }
    const residency_order order = *at.loading;
    const bool there = holdsModel(at.report.models, order.model);
    const auto took = std::chrono::duration_cast<milliseconds>(now - at.loadingSince);
    if (there != order.load && now - at.loadingSince < loadLost && at.report.orderCount <= order.expected) {
        at.askAt = now + reportEvery;
        return;
    }
    m_log.write(now,
                log_line("order-done")
                    .with("target", id)
                    .with("op", order.load ? "load" : "unload")
                    .with("model", order.model)
                    .with("held", there ? "yes" : "no")
                    .with("took-ms", took));
    m_due.push_back({now, {id, order.model, {}, there}});
    std::erase_if(at.freshUntil, [now](const auto &one) {
        return now >= one.second;
    });
    if (order.load && there) {
        at.freshUntil[order.model] = now + took;
    }
    at.loading.reset();
}

void residency_keeper::onReportFailed(instant now, const target_id &target)
{
    const auto found = m_engines.find(target);
    if (found != m_engines.end()) {
        found->second.asked = false;
        found->second.askAt = now + reportRetry;
    }
}

void residency_keeper::apply(engine &at, const residency_order &order)
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

void residency_keeper::onOrdered(instant now, const residency_order &order, order_result result)
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
    if (found == m_engines.end() || found->second.sent != order) {
        return;
    }
    engine &at = found->second;
    if (result != order_result::Unknown && at.sentUsesStore && now - at.sentAt > promptAnswer) {
        m_loadStarts.push_back(now);
    }
    switch (result) {
    case order_result::Unknown:
        at.resendAt = now + resendPause;
        return;
    case order_result::Conflict:
    case order_result::Refused:
        if (!order.load && !order.adapter.empty()) {
            // An earlier send of it may have been carried out, with an answer that was lost.
            at.departing[{order.model, order.adapter}] = now;
        }
        at.sent.reset();
        at.known = false;
        // A report that is older than the conflict could show the state before it.
        at.askAt = now + reportLag;
        return;
    case order_result::Accepted:
        at.report.orderCount = order.expected + 1;
        break;
    case order_result::AlreadySo:
        // An adapter that nothing uses is unloaded at once, which this answer says as well; it counts as
        // an order. Where it wasn't held the count stays, and the next order meets a conflict.
        at.report.orderCount = order.expected + (!order.load && !order.adapter.empty() ? 1 : 0);
        break;
    }
    at.sent.reset();
    const bool waits = result == order_result::Accepted && order.adapter.empty() && !order.load;
    if (!waits) {
        apply(at, order);
    }
    if (!order.load && !order.adapter.empty() && result == order_result::Accepted) {
        at.departing[{order.model, order.adapter}] = now;
    }
    if (!order.adapter.empty()) {
        m_due.push_back({now + (result == order_result::Accepted && order.load ? adapterSettle : milliseconds(0)),
                         {order.target, order.model, order.adapter, order.load}});
        return;
    }
    if (result == order_result::AlreadySo) {
        m_due.push_back({now, {order.target, order.model, {}, order.load}});
        return;
    }
    at.report.busy = true;
    at.loading = order;
    at.loadingSince = now;
    at.askAt = now + (order.load ? firstLook : reportEvery);
}

} // namespace fuchsialoom
