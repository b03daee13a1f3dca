/// \file
/// The request path of one VM.
#include "fuchsialoom/gateway/gateway.h"

#include "exchange.h"

#include <algorithm>

namespace fuchsialoom
{

/// Interval at which queued requests are checked for ones that can't start in time. A tenth of the shortest objective
/// that users configure is 10 ms; an eighth of the usual ones is 37 to 50 ms.
static constexpr milliseconds queueCheckInterval{25};

gateway::gateway(asio::io_context &loop, gateway_options options, dialect_calls dialect, decision_log &log, metrics_registry &metrics)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_dialect(dialect)
    , m_log(log)
    , m_metrics(metrics)
    , m_pool(m_options.domain)
    , m_links(loop)
    , m_crashes(m_options.quarantineLength)
    , m_pathTimer(loop)
    , m_peerLinks(loop)
    , m_peerChoice(m_options.domain)
    , m_trials(m_options.seed)
    , m_queueTimer(loop)
    , m_heldBytes(std::make_shared<byte_account>(m_options.mostHeldBytes, m_options.heldBytesShare))
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
                    .with("services", configuration.services.size())
                    .with("teams", configuration.teams ? std::to_string(configuration.teams->size()) : "none"));
    m_routes.assign(configuration.routes);
    m_configuration = std::move(configuration);
    configureTeams();
    rerouteQueued();
    dispatchQueued();
    return true;
}

void gateway::rerouteQueued()
{
    std::vector<std::shared_ptr<exchange>> unsent;
    for (const auto &[serial, ex] : m_queued) {
        if (ex->m_attemptNumber == 0) {
            unsent.push_back(ex);
        }
    }
    for (const std::shared_ptr<exchange> &ex : unsent) {
        if (!ex->isDone() && ex->m_attemptNumber == 0) {
            reroute(*ex);
        }
    }
}

void gateway::reroute(exchange &ex)
{
    const std::string *host = ex.m_request.headers.find("Host");
    const route *found = host ? m_routes.find(*host, ex.m_request.path()) : nullptr;
    // A request that arrived before its route was removed may still be served.
    const bool stays = found ? found->leadsTo(ex.m_service) : m_configuration->services.contains(ex.m_service);
    if (stays) {
        return;
    }
    if (!found) {
        ex.refuse(refusal::NoTarget, std::nullopt);
        return;
    }
    const service_id before = ex.m_service;
    ex.endTrial();
    m_queue.remove(ex.serial());
    ex.followRoute(*found);
    m_queue.push(ex.queueEntry());
    m_log.writeRequest(loopNow(), log_line("rerouted", ex.facts().id).with("from", before).with("to", ex.m_service));
    if (!ex.isModelServed()) {
        ex.refuse(refusal::UnknownModel, std::nullopt);
        return;
    }
    ex.armTimer();
}

void gateway::configureTeams()
{
    m_teams.assign(m_configuration->teams.value_or(std::vector<team>()));
    static constexpr double millisecondsPerSecond = 1000;
    std::map<team_id, quota_limits> limits;
    std::map<team_id, team_usage> usage;
    const instant now = loopNow();
    for (const team &one : m_teams.teams()) {
        usage[one.id] = m_teamUsage[one.id];
        if (one.quota) {
            quota_limits &limit = limits.emplace(one.id, *one.quota).first->second;
            limit.windowSeconds = static_cast<double>(m_options.quotaWindow.count()) / millisecondsPerSecond;
            if (m_quotas.limits(one.id) != limit) {
                m_log.write(now,
                            log_line("quota")
                                .with("team", one.id)
                                .with("per-second", static_cast<std::int64_t>(one.quota->perSecond))
                                .with("burst", static_cast<std::int64_t>(one.quota->burst))
                                .with("unit", one.unit));
            }
        }
    }
    m_teamUsage = std::move(usage);
    m_quotas.configure(now, limits);
}

void gateway::setLiveVms(std::size_t live)
{
    m_liveVms = live;
    for (auto &[service, budget] : m_budgets) {
        budget.setLiveVmCount(live);
    }
}

shared_retry_budget &gateway::retryBudgetFor(const service_id &service)
{
    const auto [found, isNew] = m_budgets.try_emplace(service);
    if (isNew) {
        found->second.setLimits(m_options.retries, m_startedAt);
        found->second.setLiveVmCount(m_liveVms);
    }
    return found->second;
}

std::size_t gateway::idleLimit(const service_id &service) const
{
    const auto found = m_configuration->services.find(service);
    return found == m_configuration->services.end() ? 0 : idleShare(found->second.maxConnections, m_liveVms);
}

void gateway::updateGauges()
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
    takeMark(request.headers); // only other VMs may send one
    const auto ex = std::make_shared<exchange>(*this, caller, std::move(request), std::nullopt);
    m_openExchanges.emplace(ex->serial(), ex);
    ex->start();
}

void gateway::enqueue(const std::shared_ptr<exchange> &ex)
{
    const request_facts &facts = ex->facts();
    if (!ex->m_countedInDemand) {
        ex->m_countedInDemand = true;
        ex->m_countedModel = ex->m_isEngine ? facts.model : model_id();
        model_demand &demand = m_demand[ex->m_countedModel];
        if (!ex->isPassedOn()) {
            // Its first VM counts it.
            retryBudgetFor(ex->m_service).countRequest(loopNow());
            demand.arrivals += 1;
        }
        if (!ex->countedAdapter().empty()) {
            demand.adapters[ex->countedAdapter()].askedAt = loopNow();
        }
    }
    m_demand[ex->m_countedModel].waiting += 1;
    m_queue.push(ex->queueEntry());
    m_queued.emplace(ex->serial(), ex);
    dispatchQueued();
}

void gateway::onExchangeDone(exchange &ex)
{
    m_queue.remove(ex.serial());
    if (m_queued.erase(ex.serial()) > 0) {
        m_demand[ex.m_countedModel].waiting -= 1;
    }
    if (ex.m_running) {
        ex.m_running = false;
        model_demand &demand = m_demand[ex.m_countedModel];
        demand.running -= 1;
        if (!ex.countedAdapter().empty()) {
            demand.adapters[ex.countedAdapter()].running -= 1;
        }
    }
    dispatchQueued();
}

void gateway::notifyInFlightChanged()
{
    if (m_onInFlightChanged) {
        m_onInFlightChanged();
    }
}

void gateway::noteUnreachable(const target_id &target)
{
    const pool_target *known = m_pool.find(target);
    if (known && loopNow() < known->saidAliveUntil) {
        m_pool.noteUnreachable(loopNow(), target);
        m_log.write(loopNow(), log_line("target-out-of-reach").with("target", target));
        return;
    }
    reportDeath(target, death_source::Own);
    if (!m_pool.noteUnreachable(loopNow(), target)) {
        return;
    }
    m_log.write(loopNow(), log_line("target-unreachable").with("target", target));
    if (m_onReachability) {
        m_onReachability(target, false);
    }
}

pool_verdict gateway::tryDispatch(exchange &ex)
{
    if (m_paths.isLost() || ex.m_needsPeer) {
        return passOn(ex) ? pool_verdict::Chosen : pool_verdict::NoTarget;
    }
    const target_query query = ex.query();
    const target_choice choice = m_pool.choose(loopNow(), query, m_random());
    const bool isOutOfReach = choice.target ? choice.target->isOutOfReach(loopNow()) : choice.candidates == 0 && choice.outOfReach > 0;
    if (isOutOfReach && !ex.isPassedOn() && !m_servingPeers.empty()) {
        return passOn(ex) ? pool_verdict::Chosen : pool_verdict::NoTarget;
    }
    if (choice.target) {
        m_queue.depart(loopNow(), ex.serial());
        const auto keptAlive = m_queued.extract(ex.serial());
        m_demand[ex.m_countedModel].waiting -= 1;
        ex.dispatch(*choice.target);
        notifyInFlightChanged();
        return choice.verdict;
    }
    if (choice.verdict == pool_verdict::NotResident && !query.adapter.empty() && m_onAdapterMiss) {
        m_onAdapterMiss({query.service, query.model, query.adapter});
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

void gateway::dispatchQueued()
{
    if (m_dispatching) {
        m_dispatchAgain = true;
        return;
    }
    m_dispatching = true;
    do {
        m_dispatchAgain = false;
        demoteLate(loopNow());
        tryTakeovers(loopNow());
        std::set<lane_key> blocked;
        std::set<lane_key> notResident;
        while (const queued_request *next = m_queue.next(blocked)) {
            const lane_key lane = next->lane;
            const std::shared_ptr<exchange> ex = m_queued.at(next->id);
            const instant now = loopNow();
            if (next->deadline <= now) {
                refuseQueued(now, *ex);
                continue;
            }
            // A request that may have run can't be refused as not run, so its caller loses nothing by another attempt.
            if (isUnfinishable(now, *ex) && !ex->m_history.mayHaveRun) {
                ex->abortForShutdown();
                continue;
            }
            if (ex->endIfQuarantined() || (!ex->leavesToPeer() && ex->endIfSuspected())) {
                continue;
            }
            if (!ex->leavesToPeer() && ex->m_trial && !m_trials.isSettled(now, *ex->m_trial)) {
                blocked.insert(ex->queueEntry().lane);
                continue;
            }
            const pool_verdict verdict = tryDispatch(*ex);
            if (verdict != pool_verdict::Chosen) {
                blocked.insert(lane);
            }
            if (verdict == pool_verdict::NotResident) {
                notResident.insert(lane);
            }
        }
        m_queue.settle(loopNow());
        refuseUnstartable(loopNow());
        refuseNotResident(loopNow(), notResident);
        refuseUnfinishable(loopNow());
    } while (m_dispatchAgain);
    m_dispatching = false;
    armQueueTimer();
}

void gateway::tryTakeovers(instant now)
{
    if (m_queue.size() == 0) {
        return; // room that is there is found by the streams themselves
    }
    std::set<lane_key> full;
    const auto silent = m_silentStreams;
    for (const auto &[serial, weak] : silent) {
        const std::shared_ptr<exchange> ex = weak.lock();
        if (ex && !full.contains(ex->sharedLane()) && ex->tryTakeover(now) == takeover_verdict::NoTarget) {
            full.insert(ex->sharedLane());
        }
    }
}

void gateway::demoteLate(instant now)
{
    for (const auto &[serial, ex] : m_queued) {
        if (!ex->m_streamStarted && ex->updateLateness(now)) {
            m_queue.remove(serial);
            m_queue.push(ex->queueEntry());
        }
    }
}

void gateway::refuseUnstartable(instant now)
{
    for (const request_id &serial : m_queue.unreachable(now)) {
        const std::shared_ptr<exchange> ex = m_queued.at(serial);
        if (ex->m_streamStarted && now < ex->m_deadlines.callerDeadline) {
            // The caller already has the start of the stream, so it keeps waiting for the rest.
            continue;
        }
        refuseQueued(now, *ex);
    }
}

void gateway::refuseQueued(instant now, exchange &ex)
{
    if (ex.m_history.mayHaveRun) {
        ex.failRequest(502, "queue-full");
        return;
    }
    const milliseconds retryAfter = m_queue.retryAfter(now, ex.queueEntry().lane);
    ex.refuse(now >= ex.m_deadlines.queueDeadline ? refusal::TimedOut : refusal::QueueFull, retryAfter);
}

void gateway::refuseNotResident(instant now, const std::set<lane_key> &lanes)
{
    const milliseconds wait = lanes.empty() || !m_timeUntilOrders ? milliseconds(0) : m_timeUntilOrders();
    if (wait <= milliseconds(0)) {
        return;
    }
    std::vector<std::shared_ptr<exchange>> expiring;
    for (const auto &[serial, ex] : m_queued) {
        if (ex->expiresInQueueBy(now + wait) && lanes.contains(ex->queueEntry().lane)) {
            expiring.push_back(ex);
        }
    }
    for (const std::shared_ptr<exchange> &ex : expiring) {
        ex->refuse(refusal::NotResident, wait);
    }
}

/// Estimated duration without any samples, as a multiple of the route's objective.
static constexpr int unknownRunObjectives = 4;

milliseconds gateway::expectedRun(instant now, const exchange &ex) const
{
    const milliseconds unknown = unknownRunObjectives * ex.m_route.objective;
    const auto known = m_runMeters.find(ex.m_route.name);
    if (known == m_runMeters.end()) {
        return unknown;
    }
    const auto pace = m_paceMeters.find(ex.facts().model);
    const double currentPace = pace == m_paceMeters.end() ? 0 : pace->second.current(now);
    return known->second.expected(now, ex.facts().maxOutputTokens, currentPace, unknown);
}

bool gateway::endsBeforeStop(instant now, const exchange &ex) const
{
    return !m_stopPlan.isStopping() || endsInTime(now, expectedRun(now, ex), m_stopPlan.end);
}

/// A started stream continues until this VM exits.
bool gateway::isUnfinishable(instant now, const exchange &ex) const
{
    return !ex.m_streamStarted && !endsBeforeStop(now, ex);
}

/// A request that arrived too late was refused before its route was looked up, so it has no estimate.
void gateway::addShutdownFields(log_line &line, instant now, const exchange &ex) const
{
    if (!m_stopPlan.isStopping()) {
        return;
    }
    const auto left = std::chrono::duration_cast<milliseconds>(m_stopPlan.end - now);
    if (!ex.m_route.name.empty()) {
        line.with("run-ms", std::to_string(expectedRun(now, ex).count()));
    }
    line.with("stop-in-ms", std::to_string(left.count()));
}

void gateway::refuseUnfinishable(instant now)
{
    if (!m_stopPlan.isStopping()) {
        return;
    }
    std::vector<std::shared_ptr<exchange>> unfinishable;
    for (const auto &[serial, ex] : m_queued) {
        if (isUnfinishable(now, *ex) && !ex->m_history.mayHaveRun) {
            unfinishable.push_back(ex);
        }
    }
    for (const std::shared_ptr<exchange> &ex : unfinishable) {
        ex->abortForShutdown();
    }
}

void gateway::setStopPlan(const stop_plan &plan)
{
    m_stopPlan = plan;
    dispatchQueued();
}

void gateway::abortOpenRequests()
{
    const auto open = m_openExchanges;
    for (const auto &[serial, weak] : open) {
        const std::shared_ptr<exchange> ex = weak.lock();
        if (ex && !ex->isDone()) {
            ex->abortForShutdown();
        }
    }
}

void gateway::armQueueTimer()
{
    if (m_queueTimerArmed || m_queue.size() == 0) {
        return;
    }
    m_queueTimerArmed = true;
    m_queueTimer.expires_after(queueCheckInterval);
    m_queueTimer.async_wait([this](const asio::error_code &problem) {
        m_queueTimerArmed = false;
        if (!problem) {
            dispatchQueued();
        }
    });
}

} // namespace fuchsialoom
