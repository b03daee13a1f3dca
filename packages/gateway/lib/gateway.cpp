/// \file
/// The request path of one VM.
#include "fuchsialoom/gateway/gateway.h"

#include "exchange.h"

#include <algorithm>

namespace fuchsialoom
{

/// Queued requests are looked over so often for those that can't start in time. A tenth of the shortest
/// objective that the users name is 10 ms; an eighth of the usual ones is 37 to 50 ms.
static constexpr milliseconds queueLook{25};

gateway::gateway(asio::io_context &loop, gateway_options options, dialect_calls dialect, decision_log &log, metrics_registry &metrics)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_dialect(dialect)
    , m_log(log)
    , m_metrics(metrics)
    , m_pool(m_options.domain)
    , m_links(loop)
    , m_queueTimer(loop)
    , m_random(m_options.seed)
{
}

gateway::~gateway() = default;

const caller_limits &gateway::limits() const
{
    static const caller_limits unconfigured;
    return m_configuration ? m_configuration->limits : unconfigured;
}

bool gateway::configure(gateway_configuration configuration)
{
    if (m_configuration && configuration.version <= m_configuration->version) {
        return false;
    }
    m_log.write(loopNow(),
                log_line("configured")
                    .with("version", configuration.version)
                    .with("before", m_configuration ? m_configuration->version : 0)
                    .with("routes", configuration.routes.size())
                    .with("services", configuration.services.size()));
    m_routes.assign(configuration.routes);
    m_configuration = std::move(configuration);
    pump();
    return true;
}

void gateway::setLiveVms(std::size_t live)
{
    m_liveVms = live;
    for (auto &[service, budget] : m_budgets) {
        budget.setVms(live);
    }
}

shared_budget &gateway::budgetOf(const service_id &service)
{
    const auto [found, isNew] = m_budgets.try_emplace(service);
    if (isNew) {
        found->second.setLimits(m_options.retries);
        found->second.setVms(m_liveVms);
    }
    return found->second;
}

void gateway::measure()
{
    std::int64_t running = 0;
    for (const auto &[id, target] : m_pool.targets()) {
        running += target.own.requests;
    }
    m_metrics.set(metric::RequestsInFlight, running);
    m_metrics.set(metric::QueuedRequests, static_cast<std::int64_t>(m_queue.size()));
}

void gateway::submit(const std::shared_ptr<caller_link> &caller, received_request request)
{
    const auto one = std::make_shared<exchange>(*this, caller, std::move(request));
    m_openExchanges.emplace(one->serial(), one);
    one->start();
}

void gateway::enqueue(const std::shared_ptr<exchange> &one)
{
    const request_facts &facts = one->facts();
    if (!one->m_counted) {
        one->m_counted = true;
        budgetOf(one->m_service).countRequest(loopNow());
        model_demand &demand = m_demand[facts.model];
        demand.arrivals += 1;
        if (!facts.adapter.empty()) {
            demand.adapters[facts.adapter].askedAt = loopNow();
        }
    }
    m_demand[facts.model].waiting += 1;
    m_queue.push(one->queueEntry());
    m_queued.emplace(one->serial(), one);
    pump();
}

void gateway::forget(exchange &one)
{
    m_queue.remove(one.serial());
    if (m_queued.erase(one.serial()) > 0) {
        m_demand[one.facts().model].waiting -= 1;
    }
    if (one.m_running) {
        one.m_running = false;
        model_demand &demand = m_demand[one.facts().model];
        demand.running -= 1;
        if (!one.facts().adapter.empty()) {
            demand.adapters[one.facts().adapter].running -= 1;
        }
    }
    pump();
}

void gateway::noteFlights()
{
    if (m_onFlights) {
        m_onFlights();
    }
}

void gateway::noteUnreachable(const target_id &target)
{
    if (!m_pool.noteUnreachable(loopNow(), target)) {
        return;
    }
    m_log.write(loopNow(), log_line("target-unreachable").with("target", target));
    if (m_onUnreachable) {
        m_onUnreachable(target);
    }
}

pool_verdict gateway::tryDispatch(exchange &one)
{
    const target_query query = one.query();
    const target_choice choice = m_pool.choose(loopNow(), query, m_random());
    if (choice.target) {
        m_queue.depart(loopNow(), one.serial());
        const auto held = m_queued.extract(one.serial());
        m_demand[one.facts().model].waiting -= 1;
        one.dispatch(*choice.target);
        noteFlights();
        return choice.verdict;
    }
    if (choice.verdict == pool_verdict::NotResident && !query.adapter.empty() && m_onWantedAdapter) {
        m_onWantedAdapter({query.service, query.model, query.adapter});
    }
    return choice.verdict;
}

std::vector<demand_entry> gateway::demandSince(instant since) const
{
    std::vector<demand_entry> entries;
    for (const auto &[model, demand] : m_demand) {
        if (model.empty()) {
            continue;
        }
        if (demand.waiting + demand.running > 0) {
            entries.push_back({model, {}, demand.arrivals, demand.waiting, demand.running});
        }
        for (const auto &[adapter, use] : demand.adapters) {
            if (use.askedAt > since || use.running > 0) {
                entries.push_back({model, adapter, 0, 0, use.running});
            }
        }
    }
    return entries;
}

void gateway::pump()
{
    if (m_pumping) {
        m_pumpAgain = true;
        return;
    }
    m_pumping = true;
    do {
        m_pumpAgain = false;
        demoteLate(loopNow());
        std::set<lane_key> blocked;
        std::set<lane_key> unheld;
        while (const queued_request *next = m_queue.next(blocked)) {
            const lane_key lane = next->lane;
            const std::shared_ptr<exchange> one = m_queued.at(next->id);
            const instant now = loopNow();
            if (next->deadline <= now) {
                refuseLate(now, *one);
                continue;
            }
            // What may have run can't be refused any more, so its caller loses nothing by another try.
            if (isUnfinishable(now, *one) && !one->m_history.mayHaveRun) {
                one->endForStop();
                continue;
            }
            const pool_verdict verdict = tryDispatch(*one);
            if (verdict != pool_verdict::Chosen) {
                blocked.insert(lane);
            }
            if (verdict == pool_verdict::NotResident) {
                unheld.insert(lane);
            }
        }
        m_queue.settle(loopNow());
        refuseUnreachable(loopNow());
        refuseUnheld(loopNow(), unheld);
        refuseUnfinishable(loopNow());
    } while (m_pumpAgain);
    m_pumping = false;
    armQueueTimer();
}

void gateway::demoteLate(instant now)
{
    for (const auto &[serial, one] : m_queued) {
        if (!one->m_streamStarted && one->turnsLate(now)) {
            m_queue.remove(serial);
            m_queue.push(one->queueEntry());
        }
    }
}

void gateway::refuseUnreachable(instant now)
{
    for (const request_id &serial : m_queue.unreachable(now)) {
        const std::shared_ptr<exchange> one = m_queued.at(serial);
        if (one->m_streamStarted && now < one->m_bounds.patience) {
            // Its caller has the beginning; the rest is worth the wait.
            continue;
        }
        refuseLate(now, *one);
    }
}

void gateway::refuseLate(instant now, exchange &one)
{
    if (one.m_history.mayHaveRun) {
        one.answerFailure(502, "queue-full");
        return;
    }
    const milliseconds retryAfter = m_queue.retryAfter(now, one.queueEntry().lane);
    one.refuse(now >= one.m_bounds.queueUntil ? refusal::TimedOut : refusal::QueueFull, retryAfter);
}

void gateway::refuseUnheld(instant now, const std::set<lane_key> &lanes)
{
    const milliseconds wait = lanes.empty() || !m_timeToOrders ? milliseconds(0) : m_timeToOrders();
    if (wait <= milliseconds(0)) {
        return;
    }
    std::vector<std::shared_ptr<exchange>> hopeless;
    for (const auto &[serial, one] : m_queued) {
        if (one->isHopeless(now + wait) && lanes.contains(one->queueEntry().lane)) {
            hopeless.push_back(one);
        }
    }
    for (const std::shared_ptr<exchange> &one : hopeless) {
        one->refuse(refusal::NotResident, wait);
    }
}

/// A run of which nothing is known may take so many objectives of its route.
static constexpr int unknownRunObjectives = 4;

milliseconds gateway::expectedRun(instant now, const exchange &one) const
{
    const milliseconds unknown = unknownRunObjectives * one.m_route.objective;
    const auto known = m_runs.find(one.m_route.name);
    if (known == m_runs.end()) {
        return unknown;
    }
    const auto pace = m_paces.find(one.facts().model);
    const double present = pace == m_paces.end() ? 0 : pace->second.present(now);
    return known->second.expected(now, one.facts().mostOutputTokens, present, unknown);
}

bool gateway::endsBeforeStop(instant now, const exchange &one) const
{
    return !m_stop.isStopping() || endsInTime(now, expectedRun(now, one), m_stop.end);
}

/// A stream that has begun goes on for as long as this VM is there.
bool gateway::isUnfinishable(instant now, const exchange &one) const
{
    return !one.m_streamStarted && !endsBeforeStop(now, one);
}

/// One that came too late was refused before its route was looked up: nothing is expected of it.
void gateway::addStopFacts(log_line &line, instant now, const exchange &one) const
{
    if (!m_stop.isStopping()) {
        return;
    }
    const auto left = std::chrono::duration_cast<milliseconds>(m_stop.end - now);
    if (!one.m_route.name.empty()) {
        line.with("run-ms", std::to_string(expectedRun(now, one).count()));
    }
    line.with("stop-in-ms", std::to_string(left.count()));
}

void gateway::refuseUnfinishable(instant now)
{
    if (!m_stop.isStopping()) {
        return;
    }
    std::vector<std::shared_ptr<exchange>> unfinishable;
    for (const auto &[serial, one] : m_queued) {
        if (isUnfinishable(now, *one)) {
            unfinishable.push_back(one);
        }
    }
    for (const std::shared_ptr<exchange> &one : unfinishable) {
        one->endForStop();
    }
}

void gateway::stopBy(const stop_plan &plan)
{
    m_stop = plan;
    pump();
}

void gateway::endOpen()
{
    const auto open = m_openExchanges;
    for (const auto &[serial, weak] : open) {
        const std::shared_ptr<exchange> one = weak.lock();
        if (one && !one->isDone()) {
            one->endForStop();
        }
    }
}

void gateway::armQueueTimer()
{
    if (m_queueTimerArmed || m_queue.size() == 0) {
        return;
    }
    m_queueTimerArmed = true;
    m_queueTimer.expires_after(queueLook);
    m_queueTimer.async_wait([this](const asio::error_code &problem) {
        m_queueTimerArmed = false;
        if (!problem) {
            pump();
        }
    });
}

} // namespace fuchsialoom
