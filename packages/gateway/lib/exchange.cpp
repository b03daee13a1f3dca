/// \file
/// One request, from arrival to answer: what is decided before it is sent, and how it ends. Its attempts are
/// in exchange_attempts.cpp.
#include "exchange.h"

#include "fuchsialoom/support/errors.h"

#include <algorithm>
#include <cassert>

namespace fuchsialoom
{

/// A caller that names no deadline is waited for so long; longer than any objective that the users name.
static constexpr milliseconds defaultCallerTimeout{30000};
/// A target that sends nothing for so long is taken for silent. Sound ones send a stream's next event
/// within 40 ms and the first within their objective; the users' callers give a stream up after 2 s.
static constexpr milliseconds minStallTimeout{1000};
/// So many objectives without an answer make an idempotent request's target silent. The slowest hundredth
/// of the work takes five times the mean, which is a quarter of the objective.
static constexpr int stallTimeoutObjectives = 3;
/// So many of the longest good pauses make a stream silent.
static constexpr int stallTimeoutGaps = 4;
/// The caller's own clock started before the request was here.
static constexpr milliseconds callerNetworkDelay{3};

static constexpr int statusRefused = 503;
static constexpr int statusTimedOut = 504;

exchange::exchange(gateway &owner, std::shared_ptr<caller_link> caller, received_request request)
    : m_gateway(owner)
    , m_caller(std::move(caller))
    , m_request(std::move(request))
    , m_facts(owner.m_dialect.readRequest(m_request))
    , m_serial(std::to_string(++owner.m_serial))
    , m_arrivedAt(loopNow())
    , m_timer(owner.m_loop)
{
    owner.m_openCount += 1;
    owner.m_counters.requests += 1;
}

exchange::~exchange()
{
    m_gateway.m_openCount -= 1;
}

void exchange::start()
{
    const auto self = shared_from_this();
    m_caller->onGone([self] {
        self->onCallerGone();
    });
    if (!m_gateway.isConfigured()) {
        refuse(refusal::NotConfigured, std::nullopt);
        return;
    }
    if (!m_gateway.m_stopPlan.acceptsNew(m_arrivedAt)) {
        refuse(refusal::Draining, milliseconds(0));
        return;
    }
    m_configVersion = m_gateway.configuration().version;
    const std::string *host = m_request.headers.find("Host");
    const route *found = host ? m_gateway.m_routes.find(*host, m_request.path()) : nullptr;
    if (!found) {
        m_gateway.m_log.writeRequest(m_arrivedAt,
                                   log_line("no-route", m_facts.id)
                                       .with("host", host ? *host : std::string())
                                       .with("path", m_request.path())
                                       .with("config", m_configVersion));
        m_gateway.m_counters.refused += 1;
        m_done = true;
        m_gateway.m_openExchanges.erase(m_serial);
        m_caller->respond(404, {}, {});
        return;
    }
    m_route = *found;
    resolveRoute();
    if (!isModelServed()) {
        // Nobody could load it, and an order for it would only set an engine back.
        refuse(refusal::UnknownModel, std::nullopt);
        return;
    }
    if (!m_gateway.endsBeforeStop(m_arrivedAt, *this)) {
        refuse(refusal::Draining, milliseconds(0));
        return;
    }
    m_gateway.enqueue(self);
    armTimer();
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
    m_history.attempts = std::max(1U, m_route.attempts);
}

queued_request exchange::queueEntry() const
{
    queued_request entry;
    entry.id = m_serial;
    entry.lane.kind = m_isEngine ? target_kind::Engine : target_kind::Plain;
    entry.lane.serves = m_service.text();
    if (m_isEngine) {
        entry.lane.serves.append("/").append(m_facts.model.text()).append("/").append(m_facts.adapter.text());
    }
    if (!m_triedTargets.empty()) {
        entry.lane.alone = m_serial;
    }
    entry.service = m_service;
    entry.priority = m_streamStarted ? resumedStreamPriority : queuePriority(m_route.rank, m_late);
    entry.deadline = m_streamStarted ? m_deadlines.callerTimeout : m_deadlines.queueDeadline;
    return entry;
}

bool exchange::updateLateness(instant now)
{
    const bool turns = !m_late && now >= m_deadlines.objectiveDeadline;
    m_late = m_late || turns;
    return turns;
}

target_query exchange::query() const
{
    target_query query;
    query.service = m_service;
    query.model = m_isEngine ? m_facts.model : model_id();
    query.adapter = m_isEngine ? m_facts.adapter : adapter_id();
    query.promptTokens = m_isEngine ? m_facts.promptTokens : 0;
    // A stream that broke midway may go on at the same engine: it is avoided for a moment, not excluded.
    query.tried = m_streamStarted ? nullptr : &m_triedTargets;
    return query;
}

void exchange::refuse(refusal why, std::optional<milliseconds> retryAfter)
{
    assert(!m_history.mayHaveRun && !m_streamStarted);
    const instant now = loopNow();
    const target_query asked = query();
    m_gateway.m_counters.refused += 1;
    log_line line = log_line("refused", m_facts.id)
                        .with("reason", why)
                        .with("service", m_service)
                        .with("model", m_facts.model)
                        .with("adapter", m_facts.adapter)
                        .with("room", m_gateway.m_pool.hasRoom(asked.service, asked.model) ? "yes" : "no")
                        .with("queued", m_gateway.m_queue.size())
                        .with("waited-ms", std::chrono::duration_cast<milliseconds>(now - m_arrivedAt))
                        .with("retry-after-ms", retryAfter ? std::to_string(retryAfter->count()) : "none");
    if (why == refusal::Draining) {
        m_gateway.addShutdownFields(line, now, *this);
    }
    m_gateway.m_log.writeRequest(now, line);
    header_list headers;
    if (retryAfter) {
        m_gateway.m_dialect.writeRetryAfter(headers, *retryAfter);
    }
    m_caller->respond(statusRefused, std::move(headers), {});
    finish("refused", nameOf(why));
}

/// What has run, or may have, ends with a status that promises nothing; a stream that has begun ends with
/// its connection, so that it can't look complete.
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
    if (m_attempt) {
        m_attempt->link->close();
    }
    if (!m_attempt && !m_history.mayHaveRun && !m_streamStarted) {
        refuse(refusal::Draining, milliseconds(0));
        return;
    }
    failRequest(statusTimedOut, "stopping");
}

/// For what later requests of the route are expected to take.
void exchange::noteRun()
{
    const instant now = loopNow();
    run_sample sample;
    const instant first = m_streamStarted ? m_firstEventAt : now;
    sample.first = std::chrono::duration_cast<milliseconds>(first - m_attempt->sentAt);
    sample.rest = std::chrono::duration_cast<milliseconds>(now - first);
    sample.events = m_eventScanner.count();
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
    if (m_attempt) {
        m_attempt->link->close();
    }
    finish("abandoned", "caller-left");
}

void exchange::finish(std::string_view result, std::string_view reason)
{
    const auto self = shared_from_this();
    const instant now = loopNow();
    log_line line("done", m_facts.id);
    line.with("result", result).with("reason", reason).with("route", m_route.name);
    line.with("model", m_facts.model.text()).with("adapter", m_facts.adapter.text());
    line.with("target", m_attempt ? m_attempt->target.text() : std::string());
    line.with("status", std::to_string(m_attempt ? m_attempt->head.status : 0));
    line.with("took-ms", std::to_string(std::chrono::duration_cast<milliseconds>(now - m_arrivedAt).count()));
    line.with("waited-ms", std::to_string(std::chrono::duration_cast<milliseconds>(m_queueTime).count()));
    line.with("objective-ms", std::to_string(m_route.objective.count()));
    if (m_streamStarted) {
        line.with("gap-objective-ms", std::to_string(m_route.gapObjective.count()));
        line.with("first-ms", std::to_string(std::chrono::duration_cast<milliseconds>(m_firstEventAt - m_arrivedAt).count()));
        line.with("events", std::to_string(m_eventScanner.count())).with("gap-ms", std::to_string(m_gapMs));
    }
    m_gateway.m_log.writeRequest(now, line);
    const bool mayHaveRun = m_history.mayHaveRun || m_attempt.has_value();
    const outcome known = result == "answered" ? outcome::Ran : mayHaveRun ? outcome::Unknown : outcome::NotRun;
    m_gateway.m_metrics.add(metric::Requests, {label_value(metric_label::Outcome, known)});
    if (result == "answered") {
        m_gateway.m_counters.answered += 1;
        if (m_attemptNumber == 1) {
            noteRun();
        }
    }
    m_done = true;
    m_timer.cancel();
    endAttempt();
    m_gateway.m_openExchanges.erase(m_serial);
    m_gateway.onExchangeDone(*this);
}

instant exchange::stallDeadline() const
{
    if (!m_attempt) {
        return farFuture;
    }
    milliseconds silence = std::max(minStallTimeout, stallTimeoutObjectives * m_route.objective);
    if (isStream()) {
        silence = m_streamStarted ? std::max(minStallTimeout, stallTimeoutGaps * m_route.gapObjective) : std::max(minStallTimeout, m_route.objective);
    }
    return m_attempt->lastByteAt + silence;
}

void exchange::armTimer()
{
    if (m_done) {
        return;
    }
    const instant end = m_streamStarted ? m_deadlines.callerTimeout : m_deadlines.answerDeadline;
    const instant next = std::max(std::min(end, stallDeadline()), loopNow() + milliseconds(1));
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
    const instant end = m_streamStarted ? m_deadlines.callerTimeout : m_deadlines.answerDeadline;
    if (now >= end) {
        onDeadlineReached();
        return;
    }
    if (m_attempt && now >= stallDeadline()) {
        m_gateway.m_pool.avoid(now, m_attempt->target, unreachableAvoidance);
        const bool attemptsLeft = m_history.targetsTried + 1 < m_history.attempts;
        if (m_history.repeatable && attemptsLeft && m_gateway.retryBudgetFor(m_service).allows(now)) {
            m_attempt->link->close();
            handleAttemptEnd(attempt_outcome::Silent);
        } else {
            // Nothing else can take it, so it goes on waiting; the next look is a silence later.
            m_attempt->lastByteAt = now;
        }
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
    if (m_attempt) {
        m_gateway.m_pool.failed(loopNow(), m_attempt->target);
        m_attempt->link->close();
    }
    failRequest(statusTimedOut, "deadline");
}

} // namespace fuchsialoom
