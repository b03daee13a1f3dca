/// \file
/// Life cycle of one request: admission, deadlines and completion. exchange_admission.cpp decides whose it is,
/// exchange_attempts.cpp implements its attempts, exchange_silence.cpp what follows when a target sends nothing.
#include "exchange.h"

#include "fuchsialoom/gateway/request_fingerprint.h"
#include "fuchsialoom/support/errors.h"

#include <algorithm>
#include <cassert>

namespace fuchsialoom
{

/// Timeout of a request without a deadline; longer than any latency objective that users configure.
static constexpr milliseconds defaultCallerTimeout{30000};
/// Subtracted from the caller's timeout, which started when the caller sent the request.
static constexpr milliseconds callerNetworkDelay{3};

/// A request that has waited for longer may wait for the same room as others.
static constexpr milliseconds freshTime{10};
/// Another VM may have the memory at once.
static constexpr milliseconds retryAfterNoMemory{50};
static constexpr int statusNoRoute = 404;
static constexpr int statusFailed = 502;
static constexpr int statusRefused = 503;
static constexpr int statusTimedOut = 504;

exchange::exchange(gateway &parent, std::shared_ptr<caller_link> caller, received_request request, std::optional<passed_on_mark> passedOn)
    : m_gateway(parent)
    , m_caller(std::move(caller))
    , m_request(std::move(request))
    , m_facts(parent.m_dialect.readRequest(m_request))
    , m_serial(std::to_string(++parent.m_serial))
    , m_arrivedAt(loopNow() - (passedOn ? passedOn->age : milliseconds(0)))
    , m_passedOn(passedOn)
    , m_timer(parent.m_loop)
{
    parent.m_openCount += 1;
    parent.m_passedOnOpen += m_passedOn ? 1 : 0;
    parent.m_counters.requests += 1;
}

exchange::~exchange()
{
    m_gateway.m_openCount -= 1;
    m_gateway.m_passedOnOpen -= m_passedOn ? 1 : 0;
}

void exchange::start()
{
    const auto self = shared_from_this();
    m_caller->onGone([self] {
        self->onCallerGone();
    });
    m_heldRequest = held_bytes(m_gateway.m_heldBytes, [this] {
        asio::post(m_gateway.m_loop, [self = shared_from_this()] {
            self->onNoMemory();
        });
    });
    m_heldRequest.set(m_request.keptBytes());
    if (m_passedOn && !m_gateway.takesPassedOn(*m_passedOn)) {
        decline();
        return;
    }
    if (!m_gateway.isConfigured()) {
        refuse(refusal::NotConfigured, std::nullopt);
        return;
    }
    if (!m_passedOn && !m_gateway.m_stopPlan.acceptsNew(m_arrivedAt)) {
        refuse(refusal::Draining, milliseconds(0));
        return;
    }
    m_configVersion = m_gateway.configuration().version;
    const std::string *host = m_request.headers.find("Host");
    const route *found = host ? m_gateway.m_routes.find(*host, m_request.path()) : nullptr;
    if (!found && refuseIfBehind()) {
        return;
    }
    if (!found) {
        deny(statusNoRoute, {}, log_line("no-route", m_facts.id).with("host", host ? *host : std::string()).with("path", m_request.path()));
        return;
    }
    m_route = *found;
    if (!authorize()) {
        return;
    }
    resolveRoute();
    if (endIfQuarantined()) {
        return;
    }
    if (!isModelServed()) {
        // No engine can load this model, and a load order for it would only disturb an engine.
        refuse(refusal::UnknownModel, std::nullopt);
        return;
    }
    if (!m_gateway.endsBeforeStop(m_arrivedAt, *this)) {
        refuse(refusal::Draining, milliseconds(0));
        return;
    }
    // Another VM charges the team, and knows the suspects as well.
    if (!leavesToPeer() && (!chargeTeam() || endIfSuspected())) {
        return;
    }
    m_gateway.enqueue(self);
    armTimer();
}

void exchange::deny(int status, header_list headers, log_line line)
{
    m_gateway.m_log.writeRequest(m_arrivedAt, std::move(line).with("config", m_configVersion));
    m_gateway.m_counters.refused += 1;
    m_done = true;
    m_heldRequest.set(0);
    m_gateway.m_openExchanges.erase(m_serial);
    m_caller->respond(status, std::move(headers), {});
}

bool exchange::isModelServed() const
{
    const auto &services = m_gateway.configuration().services;
    const auto traits = services.find(m_service);
    return traits == services.end() || !traits->second.engine || m_facts.model.empty()
        || traits->second.engine->serves(m_facts.model, m_facts.adapter);
}

void exchange::resolveRoute()
{
    m_service = chooseService(m_route, m_gateway.m_random());
    const auto &services = m_gateway.configuration().services;
    const auto traits = services.find(m_service);
    m_isEngine = traits != services.end() && traits->second.engine.has_value();
    const milliseconds callerTimeout = std::max(milliseconds(0), m_facts.callerTimeout.value_or(defaultCallerTimeout) - callerNetworkDelay);
    m_deadlines = computeDeadlines(m_route, m_arrivedAt, callerTimeout);
    m_history.repeatable = m_route.isRepeatable();
    m_history.attempts = std::max(1U, m_passedOn ? std::min(m_route.attempts, m_passedOn->attempts) : m_route.attempts);
}

content_hash exchange::fingerprint() const
{
    if (!m_fingerprint) {
        m_fingerprint = fingerprintOf(m_request, callerName());
    }
    return *m_fingerprint;
}

const std::vector<content_hash> &exchange::promptParts() const
{
    if (!m_promptParts) {
        m_promptParts.emplace();
        for (const std::string &part : m_facts.sharedParts) {
            m_promptParts->push_back(partFingerprint(part));
        }
    }
    return *m_promptParts;
}

crash_subjects exchange::subjects() const
{
    return {fingerprint(), promptParts()};
}

std::string exchange::callerName() const
{
    if (m_team && !m_team->empty()) {
        return m_team->text();
    }
    const credential presented = m_gateway.m_dialect.readCredential(m_request);
    return presented.problem == key_problem::None ? std::to_string(presented.key.prefix()) : std::string();
}

lane_key exchange::sharedLane() const
{
    lane_key lane;
    lane.kind = m_isEngine ? target_kind::Engine : target_kind::Plain;
    lane.serves = m_service.text();
    if (m_isEngine) {
        lane.serves.append("/").append(m_facts.model.text()).append("/").append(m_facts.adapter.text());
    }
    return lane;
}

queued_request exchange::queueEntry() const
{
    queued_request entry;
    entry.id = m_serial;
    entry.lane = sharedLane();
    if (!m_triedTargets.empty() || m_trial) {
        entry.lane.alone = m_serial;
    }
    entry.service = m_service;
    entry.brand = brand_id(m_team.value_or(team_id()).text());
    const bool goesOn = m_streamStarted || m_returnsTo;
    entry.band = bandNumber(goesOn ? waiting_band::ResumedStream : m_late ? waiting_band::Late : waiting_band::OnTime);
    entry.priority = m_route.rank;
    entry.deadline = goesOn ? m_deadlines.callerDeadline : m_deadlines.queueDeadline;
    return entry;
}

bool exchange::updateLateness(instant now)
{
    const bool becameLate = !m_late && now >= m_deadlines.objectiveDeadline;
    m_late = m_late || becameLate;
    return becameLate;
}

target_query exchange::query() const
{
    target_query query;
    query.service = m_service;
    query.model = m_isEngine ? m_facts.model : model_id();
    query.adapter = m_isEngine ? m_facts.adapter : adapter_id();
    query.promptTokens = m_isEngine ? m_facts.promptTokens : 0;
    // A broken stream may resume at the same engine, which is avoided for a short time instead of excluded.
    query.tried = m_streamStarted || m_returnsTo ? nullptr : &m_triedTargets;
    query.only = m_returnsTo ? &*m_returnsTo : nullptr;
    query.isFresh = m_attemptNumber == 0 && loopNow() - m_arrivedAt < freshTime;
    return query;
}

void exchange::refuse(refusal why, std::optional<milliseconds> retryAfter)
{
    assert(!m_history.mayHaveRun && !m_streamStarted);
    const instant now = loopNow();
    const target_query target = query();
    m_gateway.m_counters.refused += 1;
    log_line line = log_line("refused", m_facts.id)
                        .with("reason", why)
                        .with("service", m_service)
                        .with("model", m_facts.model)
                        .with("adapter", m_facts.adapter)
                        .with("room", m_gateway.m_pool.hasRoom(target.service, target.model) ? "yes" : "no")
                        .with("queued", m_gateway.m_queue.size())
                        .with("waited-ms", std::chrono::duration_cast<milliseconds>(now - m_arrivedAt))
                        .with("retry-after-ms", retryAfter ? std::to_string(retryAfter->count()) : "none");
    if (why == refusal::Draining) {
        m_gateway.addShutdownFields(line, now, *this);
    }
    if (why == refusal::Quarantined || why == refusal::Suspected) {
        line.with("fingerprint", textOf(fingerprint())).with("parts", textOf(promptParts()));
    }
    m_gateway.m_log.writeRequest(now, line);
    header_list headers;
    if (retryAfter) {
        m_gateway.m_dialect.writeRetryAfter(headers, *retryAfter);
    }
    m_caller->respond(statusRefused, std::move(headers), {});
    finish("refused", nameOf(why));
}

/// The request is queued and hasn't been sent to a target: only until then can it give way.
void exchange::onNoMemory()
{
    if (m_done || !m_heldRequest.mustGiveWay()) {
        return;
    }
    if (m_passedOn) {
        decline();
    } else {
        refuse(refusal::NoMemory, retryAfterNoMemory);
    }
}

bool exchange::endIfQuarantined()
{
    if (!m_gateway.m_crashes.hasQuarantines()) {
        return false;
    }
    const instant now = loopNow();
    const std::optional<quarantine_match> match = m_gateway.m_crashes.quarantineOf(now, subjects());
    if (!match) {
        return false;
    }
    m_gateway.m_quarantineRefusals += 1;
    m_gateway.m_partRefusals += match->subject != fingerprint() ? 1 : 0;
    if (m_history.mayHaveRun || m_streamStarted) {
        failRequest(statusFailed, nameOf(refusal::Quarantined));
    } else {
        refuse(refusal::Quarantined, std::chrono::ceil<milliseconds>(match->until - now));
    }
    return true;
}

bool exchange::endIfSuspected()
{
    const bool anySuspects = m_gateway.m_crashes.hasSuspects();
    const std::optional<instant> heldUntil = anySuspects ? m_gateway.m_crashes.heldUntil(subjects()) : std::nullopt;
    if (!heldUntil) {
        endTrial();
        return false;
    }
    const instant now = loopNow();
    const bool mayHaveRun = m_history.mayHaveRun || m_streamStarted;
    if (!mayHaveRun && now >= *heldUntil && claimTrial()) {
        return false;
    }
    m_gateway.m_suspectRefusals += 1;
    if (mayHaveRun) {
        failRequest(statusFailed, nameOf(refusal::Suspected));
        return true;
    }
    const instant freeAt = m_gateway.m_trials.likelyFreeAt(now, m_service).value_or(*heldUntil);
    refuse(refusal::Suspected, std::chrono::ceil<milliseconds>(std::max(*heldUntil, freeAt) - now));
    return true;
}

bool exchange::claimTrial()
{
    if (m_trial && m_gateway.m_trials.holds(loopNow(), *m_trial)) {
        return true;
    }
    m_trial = m_gateway.claimTrial(*this);
    if (m_trial && m_gateway.m_queued.contains(m_serial)) {
        m_gateway.m_queue.remove(m_serial);
        m_gateway.m_queue.push(queueEntry());
    }
    return m_trial.has_value();
}

void exchange::endTrial()
{
    if (m_trial) {
        m_gateway.releaseTrial(*std::exchange(m_trial, std::nullopt));
    }
}

/// The status makes no statement about whether the request ran. A started stream is ended by closing the connection,
/// so that the caller can't take it for complete.
void exchange::failRequest(int status, std::string_view reason)
{
    m_gateway.m_counters.failed += 1;
    if (m_streamStarted) {
        m_caller->abort();
    } else {
        m_caller->respond(status, {}, {});
    }
    finish("failed", reason);
}

void exchange::abortForShutdown()
{
    closeAttempts();
    if (!m_attempt && !m_history.mayHaveRun && !m_streamStarted) {
        refuse(refusal::Draining, milliseconds(0));
        return;
    }
    failRequest(statusTimedOut, "stopping");
}

/// Records the duration, from which the durations of later requests of the route are estimated.
void exchange::recordRun()
{
    const instant now = loopNow();
    run_sample sample;
    const instant first = m_streamStarted ? m_firstEventAt : now;
    sample.first = std::chrono::duration_cast<milliseconds>(first - m_attempt->sentAt);
    sample.rest = std::chrono::duration_cast<milliseconds>(now - first);
    sample.events = scanner().count();
    sample.outputTokens = m_facts.maxOutputTokens;
    m_gateway.m_runMeters[m_route.name].record(now, sample);
    if (!m_isEngine) {
        m_gateway.m_pool.noteRun(m_service, sample.first);
    }
}

void exchange::onCallerGone()
{
    if (m_done) {
        return;
    }
    m_gateway.m_counters.abandoned += 1;
    closeAttempts();
    finish("abandoned", "caller-left");
}

void exchange::finish(std::string_view result, std::string_view reason)
{
    const auto self = shared_from_this();
    const instant now = loopNow();
    log_line line("done", m_facts.id);
    line.with("result", result).with("reason", reason).with("route", m_route.name);
    line.with("model", m_facts.model.text()).with("adapter", m_facts.adapter.text());
    if (m_team) {
        line.with("team", m_team->text()).with("cost", std::to_string(m_cost));
    }
    line.with("target", m_attempt ? m_attempt->target.text() : std::string());
    if (m_attempt && m_attempt->peer) {
        line.with("peer", m_attempt->peer->text());
    }
    line.with("status", std::to_string(m_attempt ? m_attempt->head.status : 0));
    if (m_attempt && m_attempt->headReceived) {
        line.with("framing", nameOf(m_attempt->head.framing));
    }
    line.with("took-ms", std::to_string(std::chrono::duration_cast<milliseconds>(now - m_arrivedAt).count()));
    line.with("waited-ms", std::to_string(std::chrono::duration_cast<milliseconds>(m_queueTime).count()));
    line.with("objective-ms", std::to_string(m_route.objective.count()));
    if (m_streamStarted) {
        line.with("gap-objective-ms", std::to_string(m_route.gapObjective.count()));
        line.with("first-ms", std::to_string(std::chrono::duration_cast<milliseconds>(m_firstEventAt - m_arrivedAt).count()));
        line.with("events", std::to_string(scanner().count())).with("gap-ms", std::to_string(m_gapMs));
        line.with("unfinished-bytes", std::to_string(scanner().rest().size()));
    }
    m_gateway.m_log.writeRequest(now, line);
    // A refusal states that the request hasn't run, so the latest attempt was one that its target didn't run.
    const bool mayHaveRun = result != "refused" && (m_history.mayHaveRun || m_attempt.has_value());
    const outcome known = result == "answered" ? outcome::Ran : mayHaveRun ? outcome::Unknown : outcome::NotRun;
    if (known == outcome::NotRun) {
        refundTeam();
    }
    m_gateway.m_metrics.add(metric::Requests, {label_value(metric_label::Outcome, known)});
    if (result == "answered") {
        m_gateway.m_counters.answered += 1;
        m_gateway.acquit(*this);
        m_gateway.acquitParts(*this);
        if (m_attemptNumber == 1 && !m_needsPeer) {
            recordRun();
        }
    }
    endTrial();
    m_done = true;
    m_heldRequest.set(0); // freed as soon as this call has returned to the event loop
    m_timer.cancel();
    endAttempts();
    m_gateway.m_openExchanges.erase(m_serial);
    m_gateway.onExchangeDone(*this);
}

instant exchange::stallDeadline() const
{
    if (!m_attempt || m_attempt->peer) {
        return farFuture; // a peer sees itself to targets that are silent
    }
    const instant stalled = stalledFrom(m_route, m_streamStarted, m_attempt->lastByteAt);
    return m_gateway.m_paths.isLost() ? std::min(stalled, m_attempt->lastByteAt + quietTime) : stalled;
}

void exchange::armTimer()
{
    if (m_done) {
        return;
    }
    const instant end = m_streamStarted ? m_deadlines.callerDeadline : m_deadlines.answerDeadline;
    const bool isSilent = m_attempt && m_attempt->isSilent;
    const instant silenceCheck = isSilent ? m_nextTakeoverAt : std::max(stallDeadline(), m_nextTakeoverAt);
    const instant next = std::max(std::min({end, silenceCheck, handoverDeadline()}), loopNow() + milliseconds(1));
    const auto self = shared_from_this();
    m_timer.expires_at(std::chrono::steady_clock::time_point(next.time_since_epoch()));
    m_timer.async_wait([self](const asio::error_code &problem) {
        if (!problem && !self->m_done) {
            self->onTimer();
        }
    });
}

void exchange::onTimer()
{
    const instant now = loopNow();
    const instant end = m_streamStarted ? m_deadlines.callerDeadline : m_deadlines.answerDeadline;
    if (now >= end) {
        onDeadlineReached();
        return;
    }
    if (now >= handoverDeadline()) {
        onHandoverDue();
    }
    if (now >= stallDeadline() || (m_attempt && m_attempt->isSilent && now >= m_nextTakeoverAt)) {
        onSilence(now);
    }
    armTimer();
}

void exchange::onDeadlineReached()
{
    if (!m_attempt && !m_history.mayHaveRun) {
        m_gateway.m_queue.remove(m_serial);
        refuse(refusal::TimedOut, std::nullopt);
        return;
    }
    for (const std::optional<attempt> *one : {&m_attempt, &m_successor}) {
        if (!*one) {
            continue;
        }
        if (!(*one)->headReceived || (*one)->isSilent) {
            m_gateway.m_pool.failed(loopNow(), (*one)->target);
        }
        onUnanswered(**one);
    }
    closeAttempts();
    failRequest(statusTimedOut, "deadline");
}

} // namespace fuchsialoom
