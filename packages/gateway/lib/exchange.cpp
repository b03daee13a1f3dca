/// \file
/// One request, from arrival to answer.
#include "exchange.h"

#include "fuchsialoom/support/errors.h"

#include <algorithm>
#include <cassert>

namespace fuchsialoom
{

/// A caller that names no deadline is waited for so long; longer than any objective that the users name.
static constexpr milliseconds defaultPatience{30000};
/// A connection to a target that isn't made by then is given up: a round trip takes 1 ms between
/// domains and a target needs 1 ms more, but a lost packet is sent again only after a second.
static constexpr milliseconds connectTime{250};
/// A target that sends nothing for so long is taken for silent. Sound ones send a stream's next event
/// within 40 ms and the first within their objective; the users' callers give a stream up after 2 s.
static constexpr milliseconds leastSilence{1000};
/// So many objectives without an answer make an idempotent request's target silent. The slowest hundredth
/// of the work takes five times the mean, which is a quarter of the objective.
static constexpr int silentObjectives = 3;
/// So many of the longest good pauses make a stream silent.
static constexpr int silentGaps = 4;
/// A target that refused a connection, or was silent, gets requests only where no other can take them.
static constexpr milliseconds avoidUnreachable{1000};
/// A target that refuses has no room, or changes what it holds; for so long others are asked first.
static constexpr milliseconds avoidRefusing{250};
/// A caller whose request a target refused may come back at once: another target may have room.
static constexpr milliseconds retryAfterRefusal{50};
/// The caller's own clock started before the request was here.
static constexpr milliseconds wayOfCaller{3};

static constexpr int statusRefused = 503;
static constexpr int statusFailed = 502;
static constexpr int statusTimedOut = 504;

exchange::exchange(gateway &owner, std::shared_ptr<caller_link> caller, received_request request)
    : m_owner(owner)
    , m_caller(std::move(caller))
    , m_request(std::move(request))
    , m_facts(owner.m_dialect.readRequest(m_request))
    , m_serial(std::to_string(++owner.m_serial))
    , m_arrivedAt(loopNow())
    , m_timer(owner.m_loop)
{
    owner.m_open += 1;
    owner.m_counters.requests += 1;
}

exchange::~exchange()
{
    m_owner.m_open -= 1;
}

void exchange::start()
{
    const auto self = shared_from_this();
    m_caller->onGone([self] {
        self->onCallerGone();
    });
    if (!m_owner.isConfigured()) {
        refuse(refusal::NotConfigured, std::nullopt);
        return;
    }
    if (m_owner.m_refusesNew) {
        refuse(refusal::Draining, milliseconds(0));
        return;
    }
    m_configVersion = m_owner.configuration().version;
    const std::string *host = m_request.headers.find("Host");
    const route *found = host ? m_owner.m_routes.find(*host, m_request.path()) : nullptr;
    if (!found) {
        m_owner.m_log.writeRequest(m_arrivedAt,
                                   log_line("no-route", m_facts.id)
                                       .with("host", host ? *host : std::string())
                                       .with("path", m_request.path())
                                       .with("config", m_configVersion));
        m_owner.m_counters.refused += 1;
        m_done = true;
        m_caller->respond(404, {}, {});
        return;
    }
    m_route = *found;
    resolveRoute();
    m_owner.enqueue(self);
    armTimer();
}

void exchange::resolveRoute()
{
    m_service = chooseService(m_route, m_owner.m_random());
    const auto &services = m_owner.configuration().services;
    const auto traits = services.find(m_service);
    m_isEngine = traits != services.end() && traits->second.engine.has_value();
    const milliseconds patience = std::max(milliseconds(0), m_facts.patience.value_or(defaultPatience) - wayOfCaller);
    m_bounds = waitingBoundsOf(m_route, m_arrivedAt, patience);
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
    if (!m_tried.empty()) {
        entry.lane.alone = m_serial;
    }
    entry.service = m_service;
    entry.priority = m_streamStarted ? continuedPriority : waitingPriority(m_route.rank, m_late);
    entry.deadline = m_streamStarted ? m_bounds.patience : m_bounds.queueUntil;
    return entry;
}

bool exchange::turnsLate(instant now)
{
    const bool turns = !m_late && now >= m_bounds.objectiveUntil;
    m_late = m_late || turns;
    return turns;
}

target_query exchange::query() const
{
    target_query query;
    query.service = m_service;
    query.model = m_isEngine ? m_facts.model : model_id();
    query.adapter = m_isEngine ? m_facts.adapter : adapter_id();
    // A stream that broke midway may go on at the same engine: it is avoided for a moment, not excluded.
    query.tried = m_streamStarted ? nullptr : &m_tried;
    return query;
}

std::string exchange::requestBytes(const pool_target &target) const
{
    attempt_facts facts;
    const instant until = isStream() ? m_bounds.patience : m_bounds.answerUntil;
    facts.timeLeft = std::chrono::duration_cast<milliseconds>(until - loopNow());
    facts.target = target.listed.id;
    facts.urgency = m_route.rank;
    facts.isEngine = m_isEngine;
    facts.resumeAfter = m_scanner.lastId();

    header_list headers = m_request.headers;
    headers.dropConnectionFields();
    headers.erase("Content-Length");
    headers.erase("Expect");
    m_owner.m_dialect.writeAttempt(headers, facts);

    std::string bytes = m_request.method + ' ' + m_request.target + " HTTP/1.1\r\n";
    appendFields(bytes, headers);
    if (!m_request.body.empty() || m_request.method == "POST" || m_request.method == "PUT") {
        bytes.append("Content-Length: ").append(std::to_string(m_request.body.size())).append("\r\n");
    }
    bytes.append("\r\n").append(m_request.body);
    return bytes;
}

void exchange::dispatch(const pool_target &target)
{
    assert(!m_attempt);
    const instant now = loopNow();
    m_owner.m_log.writeRequest(now,
                               log_line("sent", m_facts.id)
                                   .with("target", target.listed.id)
                                   .with("in-flight", target.inFlight())
                                   .with("slots", target.listed.slots)
                                   .with("waited-ms", std::chrono::duration_cast<milliseconds>(now - m_arrivedAt))
                                   .with("attempt", m_history.sentTo + 1)
                                   .with("config", m_configVersion));
    m_attempt = attempt();
    attempt &made = *m_attempt;
    made.target = target.listed.id;
    made.sentAt = now;
    made.lastByteAt = now;
    made.link = m_owner.m_links.take(target.listed.id, target.listed.address);
    m_tried.insert(made.target);
    m_owner.m_pool.begin(made.target);
    if (!m_running) {
        m_running = true;
        model_demand &demand = m_owner.m_demand[m_facts.model];
        demand.running += 1;
        if (!m_facts.adapter.empty()) {
            demand.adapters[m_facts.adapter].running += 1;
        }
    }
    m_attemptNumber += 1;
    if (m_attemptNumber > 1) {
        m_owner.m_metrics.add(metric::Retries);
    }
    if (m_streamStarted) {
        m_owner.m_metrics.add(metric::Resumes);
    }
    m_scanner.restart();
    made.link->send(requestBytes(target), m_request.method == "HEAD", now + connectTime, eventsOf(m_attemptNumber));
    armTimer();
}

/// Events of an attempt that was given up meanwhile are dropped.
link_events exchange::eventsOf(std::uint32_t number)
{
    const auto self = shared_from_this();
    const auto current = [self, number] {
        return self->m_attempt && self->m_attemptNumber == number;
    };
    link_events events;
    events.isMine = [self](const answer_head &head) {
        const answer_facts facts = self->m_owner.m_dialect.readAnswer(head);
        if (facts.answers.empty()) {
            return head.status < 200 || head.status >= 300;
        }
        return facts.answers == self->m_facts.id;
    };
    events.onHead = [self, current](const answer_head &head) {
        if (current()) {
            self->onHead(head);
        }
    };
    events.onBody = [self, current](std::string_view bytes) {
        if (current()) {
            self->onBody(bytes);
        }
    };
    events.onComplete = [self, current] {
        if (current()) {
            self->onComplete();
        }
    };
    events.onFailure = [self, current](link_failure how, bool sent) {
        if (current()) {
            self->onFailure(how, sent);
        }
    };
    return events;
}

void exchange::onHead(const answer_head &head)
{
    m_attempt->headCame = true;
    m_attempt->lastByteAt = loopNow();
    m_attempt->head = head;
    m_attempt->isSigned = m_owner.m_dialect.readAnswer(head).signedByTarget;
    m_attempt->passesEvents = isStream() && head.status == 200 && m_attempt->isSigned;
}

void exchange::onBody(std::string_view bytes)
{
    const instant now = loopNow();
    if (!m_attempt->passesEvents) {
        m_attempt->lastByteAt = now;
        m_attempt->body.append(bytes);
        return;
    }
    const std::string events = m_scanner.feed(bytes);
    if (events.empty()) {
        return;
    }
    if (m_streamStarted) {
        const auto gap = std::chrono::duration_cast<milliseconds>(now - m_attempt->lastByteAt);
        m_owner.m_metrics.observe(metric::TokenGap, now - m_attempt->lastByteAt);
        m_gapMs = std::max(m_gapMs, static_cast<std::uint64_t>(gap.count()));
    }
    m_attempt->lastByteAt = now;
    relay(events);
}

/// The head goes with the first event: until then another target can still take the request.
void exchange::relay(std::string_view events)
{
    if (!m_streamStarted) {
        m_streamStarted = true;
        m_firstEventAt = loopNow();
        m_owner.m_metrics.observe(metric::FirstToken, m_firstEventAt - m_arrivedAt);
        header_list headers = m_attempt->head.headers;
        headers.dropConnectionFields();
        m_caller->startStream(m_attempt->head.status, std::move(headers));
    }
    m_caller->sendPart(events);
}

void exchange::onComplete()
{
    const answer_facts facts = m_owner.m_dialect.readAnswer(m_attempt->head);
    const int status = m_attempt->head.status;
    const bool promises = status == 408 || status == 421 || status == 429 || status == 503;
    const bool good = status >= 200 && status < 300;
    if (facts.otherTarget) {
        m_owner.m_pool.noteAbsent(loopNow(), m_attempt->target, m_facts.model, m_facts.adapter);
    }
    if (facts.notRun || facts.otherTarget) {
        follow(attempt_outcome::NotRun);
    } else if (m_attempt->passesEvents) {
        finishStream();
    } else if (promises || (good && !facts.signedByTarget)) {
        // Without its own word that it didn't run the request, a target's refusal promises nothing.
        follow(attempt_outcome::Broken);
    } else if (status >= 500) {
        follow(attempt_outcome::Failed);
    } else {
        m_owner.m_pool.succeeded(loopNow(), m_attempt->target);
        passOnWhole();
    }
}

void exchange::finishStream()
{
    m_owner.m_pool.succeeded(loopNow(), m_attempt->target);
    const std::string rest = m_scanner.rest();
    if (!m_streamStarted || !rest.empty()) {
        relay(rest);
    }
    m_caller->endStream();
    finish("answered", "stream");
}

void exchange::passOnWhole()
{
    header_list headers = m_attempt->head.headers;
    headers.dropConnectionFields();
    if (m_streamStarted) {
        // A stream that was to go on elsewhere met a failure there.
        m_caller->abort();
        finish("failed", "broken-stream");
        return;
    }
    m_caller->respond(m_attempt->head.status, std::move(headers), m_attempt->body);
    finish("answered", "whole");
}

void exchange::onFailure(link_failure how, bool sent)
{
    const instant now = loopNow();
    m_owner.m_log.writeRequest(now,
                               log_line("attempt-broke", m_facts.id)
                                   .with("target", m_attempt->target)
                                   .with("how", how)
                                   .with("head", m_attempt->headCame ? "yes" : "no")
                                   .with("events", m_scanner.count())
                                   .with("after-ms", std::chrono::duration_cast<milliseconds>(now - m_attempt->sentAt)));
    if (!sent) {
        m_owner.m_pool.avoid(now, m_attempt->target, avoidUnreachable);
        follow(attempt_outcome::NotSent);
        return;
    }
    follow(attempt_outcome::Broken);
}

void exchange::follow(attempt_outcome outcome)
{
    const instant now = loopNow();
    const target_id target = m_attempt->target;
    if (outcome == attempt_outcome::NotSent) {
        m_history.unsentTries += 1;
    } else {
        m_history.sentTo += 1;
    }
    if (outcome != attempt_outcome::NotSent && outcome != attempt_outcome::NotRun) {
        m_history.mayHaveRun = true;
        m_owner.m_pool.failed(now, target);
        m_owner.m_pool.avoid(now, target, avoidRefusing);
    }
    if (outcome == attempt_outcome::NotRun) {
        m_owner.m_pool.avoid(now, target, avoidRefusing);
    }
    shared_budget &budget = m_owner.budgetOf(m_service);
    const retry_step step = afterAttempt(outcome, m_history, budget.allows(now));
    m_owner.m_log.writeRequest(now,
                               log_line("attempt-ended", m_facts.id)
                                   .with("target", target)
                                   .with("outcome", outcome)
                                   .with("status", m_attempt->head.status)
                                   .with("sent-to", m_history.sentTo)
                                   .with("attempts", m_history.attempts)
                                   .with("step", step));
    switch (step) {
    case retry_step::TryElsewhere:
        if (outcome != attempt_outcome::NotSent) {
            budget.countRepeat(now);
            m_owner.m_counters.repeats += 1;
        }
        endAttempt();
        m_owner.enqueue(shared_from_this());
        return;
    case retry_step::Refuse:
        refuse(refusal::TargetsRefused, retryAfterRefusal);
        return;
    case retry_step::PassOn:
        passOnWhole();
        return;
    case retry_step::Fail:
        answerFailure(statusFailed, nameOf(outcome));
        return;
    }
}

void exchange::endAttempt()
{
    if (!m_attempt) {
        return;
    }
    const target_id target = m_attempt->target;
    m_owner.m_pool.end(target);
    m_owner.m_links.give(target, m_attempt->link);
    m_attempt.reset();
}

void exchange::refuse(refusal why, std::optional<milliseconds> retryAfter)
{
    assert(!m_history.mayHaveRun && !m_streamStarted);
    const instant now = loopNow();
    const target_query asked = query();
    m_owner.m_counters.refused += 1;
    m_owner.m_log.writeRequest(now,
                               log_line("refused", m_facts.id)
                                   .with("reason", why)
                                   .with("service", m_service)
                                   .with("model", m_facts.model)
                                   .with("adapter", m_facts.adapter)
                                   .with("room", m_owner.m_pool.hasRoom(asked.service, asked.model) ? "yes" : "no")
                                   .with("queued", m_owner.m_queue.size())
                                   .with("waited-ms", std::chrono::duration_cast<milliseconds>(now - m_arrivedAt)));
    header_list headers;
    if (retryAfter) {
        m_owner.m_dialect.writeRetryAfter(headers, *retryAfter);
    }
    m_caller->respond(statusRefused, std::move(headers), {});
    finish("refused", nameOf(why));
}

/// What has run, or may have, ends with a status that promises nothing; a stream that has begun ends with
/// its connection, so that it can't look complete.
void exchange::answerFailure(int status, std::string_view reason)
{
    m_owner.m_counters.failed += 1;
    if (m_streamStarted) {
        m_caller->abort();
    } else {
        m_caller->respond(status, {}, {});
    }
    finish("failed", reason);
}

void exchange::onCallerGone()
{
    if (m_done) {
        return;
    }
    m_owner.m_counters.abandoned += 1;
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
    if (m_streamStarted) {
        line.with("first-ms", std::to_string(std::chrono::duration_cast<milliseconds>(m_firstEventAt - m_arrivedAt).count()));
        line.with("events", std::to_string(m_scanner.count())).with("gap-ms", std::to_string(m_gapMs));
    }
    m_owner.m_log.writeRequest(now, line);
    const bool mayHaveRun = m_history.mayHaveRun || m_attempt.has_value();
    const outcome known = result == "answered" ? outcome::Ran : mayHaveRun ? outcome::Unknown : outcome::NotRun;
    m_owner.m_metrics.add(metric::Requests, {label_value(metric_label::Outcome, known)});
    if (result == "answered") {
        m_owner.m_counters.answered += 1;
    }
    m_done = true;
    m_timer.cancel();
    endAttempt();
    m_owner.forget(*this);
}

instant exchange::silenceDeadline() const
{
    if (!m_attempt) {
        return farFuture;
    }
    milliseconds silence = std::max(leastSilence, silentObjectives * m_route.objective);
    if (isStream()) {
        silence = m_streamStarted ? std::max(leastSilence, silentGaps * m_route.gapObjective) : std::max(leastSilence, m_route.objective);
    }
    return m_attempt->lastByteAt + silence;
}

void exchange::armTimer()
{
    if (m_done) {
        return;
    }
    const instant end = m_streamStarted ? m_bounds.patience : m_bounds.answerUntil;
    const instant next = std::max(std::min(end, silenceDeadline()), loopNow() + milliseconds(1));
    const auto self = shared_from_this();
    m_timer.expires_at(std::chrono::steady_clock::time_point(next.time_since_epoch()));
    m_timer.async_wait([self](const asio::error_code &problem) {
        if (!problem && !self->m_done) {
            self->onTime();
        }
    });
}

void exchange::onTime()
{
    const instant now = loopNow();
    const instant end = m_streamStarted ? m_bounds.patience : m_bounds.answerUntil;
    if (now >= end) {
        onDeadline();
        return;
    }
    if (m_attempt && now >= silenceDeadline()) {
        m_owner.m_pool.avoid(now, m_attempt->target, avoidUnreachable);
        const bool attemptsLeft = m_history.sentTo + 1 < m_history.attempts;
        if (m_history.repeatable && attemptsLeft && m_owner.budgetOf(m_service).allows(now)) {
            m_attempt->link->close();
            follow(attempt_outcome::Silent);
        } else {
            // Nothing else can take it, so it goes on waiting; the next look is a silence later.
            m_attempt->lastByteAt = now;
        }
    }
    armTimer();
}

void exchange::onDeadline()
{
    if (!m_attempt && !m_history.mayHaveRun) {
        m_owner.m_queue.remove(m_serial);
        refuse(refusal::TimedOut, std::nullopt);
        return;
    }
    if (m_attempt) {
        m_owner.m_pool.failed(loopNow(), m_attempt->target);
        m_attempt->link->close();
    }
    answerFailure(statusTimedOut, "deadline");
}

} // namespace fuchsialoom
