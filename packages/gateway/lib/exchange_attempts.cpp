/// \file
/// The attempts of one request: sending it, and relaying the answer.
#include "exchange.h"

#include "fuchsialoom/gateway/request_fingerprint.h"

#include <algorithm>
#include <cassert>

namespace fuchsialoom
{

/// A round trip between failure domains takes 1 ms and the target 1 ms more. A lost SYN is retransmitted only after
/// a second, so waiting for that isn't worthwhile.
static constexpr milliseconds connectTimeout{250};
/// Events per pace sample of a stream; at least a tenth of a stream.
static constexpr std::uint64_t eventsPerPaceSample = 8;
/// Largest answer that is relayed as a whole, and the largest event, with the comments and empty lines before it.
static constexpr std::size_t maxAnswerBytes = 16777216;
static constexpr std::size_t maxEventBytes = 1048576;
/// Framing of an event or a whole answer beyond its own size: very small chunks take the processor for few bytes.
static constexpr std::size_t maxFramingBytes = 65536;
static constexpr int statusNoRoom = 503;

std::string exchange::serializeRequest(const attempt &one) const
{
    attempt_facts facts;
    const instant until = isStream() ? m_deadlines.callerDeadline : m_deadlines.answerDeadline;
    facts.timeLeft = std::chrono::duration_cast<milliseconds>(until - loopNow());
    facts.target = one.target;
    facts.urgency = m_route.rank;
    facts.isEngine = m_isEngine;
    facts.resumeAfter = one.scanner.lastId();
    if (!facts.resumeAfter && m_passedOn) {
        facts.resumeAfter = m_passedOn->resumeAfter;
    }
    facts.team = m_team;

    header_list headers = m_request.headers;
    headers.dropConnectionFields();
    headers.erase("Content-Length");
    headers.erase("Expect");
    m_gateway.m_dialect.writeAttempt(headers, facts);
    return serializeWith(headers);
}

std::string exchange::serializeWith(const header_list &headers) const
{
    std::string bytes = m_request.method + ' ' + m_request.target + " HTTP/1.1\r\n";
    appendFields(bytes, headers);
    if (!m_request.body.empty() || m_request.method == "POST" || m_request.method == "PUT") {
        bytes.append("Content-Length: ").append(std::to_string(m_request.body.size())).append("\r\n");
    }
    bytes.append("\r\n").append(m_request.body);
    return bytes;
}

exchange::attempt exchange::newAttempt()
{
    m_heldRequest.stopYielding();
    attempt made;
    made.held = held_bytes(m_gateway.m_heldBytes, [this] {
        asio::post(m_gateway.m_loop, [self = shared_from_this()] {
            self->giveAnswerUp();
        });
    });
    return made;
}

void exchange::giveAnswerUp()
{
    for (std::optional<attempt> *one : {&m_attempt, &m_successor}) {
        if (!m_done && *one && (*one)->held.mustGiveWay()) {
            onBrokenOff(**one, nameOf(refusal::NoMemory), false);
            return;
        }
    }
}

void exchange::dispatch(const pool_target &target)
{
    assert(!m_attempt);
    if (m_attemptNumber == 0) {
        m_queueTime = loopNow() - m_arrivedAt;
    }
    m_attempt = newAttempt();
    launch(*m_attempt, target);
}

void exchange::launch(attempt &one, const pool_target &target)
{
    const instant now = loopNow();
    log_line line = log_line("sent", m_facts.id)
                        .with("target", target.listed.id)
                        .with("in-flight", target.inFlight())
                        .with("slots", target.listed.slots)
                        .with("waited-ms", std::chrono::duration_cast<milliseconds>(now - m_arrivedAt))
                        .with("attempt", m_history.targetsTried + (m_successor ? 2 : 1))
                        .with("config", m_configVersion);
    if (m_successor) {
        line.with("beside", m_attempt->target.text());
    }
    if (m_trial) {
        line.with("trial-of", textOf(fingerprint()));
        m_gateway.m_trialCount += 1;
    }
    m_gateway.addShutdownFields(line, now, *this);
    m_gateway.m_log.writeRequest(now, line);
    m_attemptNumber += 1;
    one.number = m_attemptNumber;
    one.target = target.listed.id;
    one.sentAt = now;
    one.lastEventAt = now;
    one.lastByteAt = now;
    // The VM that passed it on has lost its path, so this one may have as well; a new connection shows that before anything is sent.
    const bool isPathDoubtful = isPassedOn() && now - m_gateway.m_paths.reachedAt() >= quietTime;
    one.link = isPathDoubtful ? m_gateway.m_links.connect(target.listed.address)
                              : m_gateway.m_links.acquire(target.listed.id, target.listed.address);
    one.pendingPromptTokens = m_isEngine ? m_facts.promptTokens : 0;
    one.scanner = m_successor ? m_attempt->scanner : m_eventScanner;
    one.scanner.restart();
    m_triedTargets.insert(one.target);
    m_gateway.m_pool.begin(one.target, one.pendingPromptTokens);
    if (!m_running) {
        m_running = true;
        model_demand &demand = m_gateway.m_demand[m_countedModel];
        demand.running += 1;
        if (!countedAdapter().empty()) {
            demand.adapters[countedAdapter()].running += 1;
        }
    }
    if (m_attemptNumber > 1) {
        m_gateway.m_metrics.add(metric::Retries);
    }
    if (m_streamStarted) {
        m_gateway.m_metrics.add(metric::Resumes);
    }
    m_paceSampleStart = instant{};
    one.link->send(serializeRequest(one), m_request.method == "HEAD", now + connectTimeout, callbacksForAttempt(one.number));
    armTimer();
}

exchange::attempt *exchange::findAttempt(std::uint32_t number)
{
    if (m_attempt && m_attempt->number == number) {
        return &*m_attempt;
    }
    return m_successor && m_successor->number == number ? &*m_successor : nullptr;
}

/// Callbacks of attempt \p number; ignored once that attempt is over.
link_events exchange::callbacksForAttempt(std::uint32_t number)
{
    const auto self = shared_from_this();
    link_events events;
    events.outgoing = held_bytes(m_gateway.m_heldBytes);
    events.isMine = [self, number](const answer_head &head) {
        const attempt *one = self->findAttempt(number);
        const answer_facts facts = self->m_gateway.m_dialect.readAnswer(head, one ? one->target : target_id());
        if (facts.answers.empty()) {
            return head.status < 200 || head.status >= 300;
        }
        return facts.answers == self->m_facts.id;
    };
    events.mayWrite = [self, number] {
        const attempt *one = self->findAttempt(number);
        if (one && !one->peer) {
            self->m_gateway.m_pool.noteConnected(one->target);
            self->m_gateway.noteConnect(one->target, connect_result::Connected);
        }
        return true;
    };
    events.onHead = [self, number](const answer_head &head) {
        if (attempt *one = self->findAttempt(number)) {
            self->onHead(*one, head);
        }
    };
    events.onBody = [self, number](std::string_view bytes) {
        if (attempt *one = self->findAttempt(number)) {
            self->onBody(*one, bytes);
        }
    };
    events.onComplete = [self, number] {
        if (attempt *one = self->findAttempt(number)) {
            self->onComplete(*one);
        }
    };
    events.onFailure = [self, number](link_failure how, bool sent) {
        if (attempt *one = self->findAttempt(number)) {
            self->onFailure(*one, how, sent);
        }
    };
    return events;
}

void exchange::onHead(attempt &one, const answer_head &head)
{
    onHeard(one);
    one.headReceived = true;
    one.head = head;
    one.receivedAtEvent = one.link->receivedBytes();
    const answer_facts facts = m_gateway.m_dialect.readAnswer(head, one.target);
    one.isSigned = facts.signedByTarget;
    const bool isBrittle = facts.maxTurnedAway.has_value();
    if ((isBrittle || facts.signedByTarget) && m_gateway.m_pool.setBrittle(loopNow(), one.target, isBrittle)) {
        m_gateway.m_log.write(loopNow(),
                              log_line("brittle")
                                  .with("service", m_service)
                                  .with("state", isBrittle ? "begun" : "over")
                                  .with("target", one.target)
                                  .with("turns-away", facts.maxTurnedAway.value_or(0)));
        if (m_gateway.m_onBrittleChange) {
            m_gateway.m_onBrittleChange();
        }
    }
    one.relaysEvents = isStream() && head.status == 200 && facts.signedByTarget && !facts.notRun;
}

bool exchange::exceedsBounds(const attempt &one, std::size_t size)
{
    const std::size_t body = size + (one.relaysEvents ? one.bytesSinceEvent : one.body.size());
    const std::size_t received = one.link->receivedBytes() - one.receivedAtEvent;
    return body > (one.relaysEvents ? maxEventBytes : maxAnswerBytes) || received > 2 * body + maxFramingBytes;
}

void exchange::onBody(attempt &one, std::string_view bytes)
{
    onHeard(one);
    if (exceedsBounds(one, bytes.size())) {
        onBrokenOff(one, nameOf(link_failure::TooLarge), false);
        return;
    }
    if (!one.relaysEvents) {
        one.body.append(bytes);
        one.held.set(keptBytes(one.body));
        return;
    }
    const std::uint64_t before = one.scanner.count();
    const std::string events = one.scanner.feed(bytes);
    const bool hasEvent = one.scanner.count() > before;
    one.bytesSinceEvent = hasEvent ? one.scanner.rest().size() : one.bytesSinceEvent + bytes.size();
    one.receivedAtEvent = hasEvent ? one.link->receivedBytes() - one.scanner.rest().size() : one.receivedAtEvent;
    one.held.set(one.bytesSinceEvent);
    if (!events.empty()) {
        settleOn(one);
        onEvents(events);
    }
}

void exchange::onEvents(std::string_view events)
{
    const instant now = loopNow();
    onPromptProcessed();
    m_attempt->firstEventAt = std::min(m_attempt->firstEventAt, now);
    if (m_streamStarted) {
        const auto gap = std::chrono::duration_cast<milliseconds>(now - m_attempt->lastEventAt);
        m_gateway.m_metrics.observe(metric::TokenGap, now - m_attempt->lastEventAt);
        m_gapMs = std::max(m_gapMs, static_cast<std::uint64_t>(gap.count()));
    }
    m_attempt->lastEventAt = now;
    if (!m_hasBegun && !isBeginning(*m_attempt, now)) {
        m_hasBegun = true;
        m_gateway.acquitParts(*this);
    }
    if (m_trial && !isBeginning(*m_attempt, now)) {
        m_gateway.acquit(*this);
        endTrial();
    }
    relay(events);
    samplePace(now);
}

void exchange::onPromptProcessed()
{
    if (m_attempt->pendingPromptTokens == 0) {
        return;
    }
    m_gateway.m_pool.read(m_attempt->target, m_attempt->pendingPromptTokens);
    m_gateway.notifyInFlightChanged();
    m_attempt->pendingPromptTokens = 0;
    m_gateway.dispatchQueued();
}

/// Samples the pace of a running stream, so that estimates for later streams of the model need not wait for its end.
/// Only for engines: their number of models is bounded, whereas callers of other services may send any model name.
void exchange::samplePace(instant now)
{
    if (!m_isEngine) {
        return;
    }
    const std::uint64_t produced = m_attempt->scanner.count() - m_paceSampleFirstEvent;
    const bool isFirst = m_paceSampleStart == instant{};
    if (!isFirst && produced < eventsPerPaceSample) {
        return;
    }
    if (!isFirst) {
        m_gateway.m_paceMeters[m_facts.model].record(now, std::chrono::duration_cast<milliseconds>(now - m_paceSampleStart), produced);
    }
    m_paceSampleStart = now;
    m_paceSampleFirstEvent = m_attempt->scanner.count();
}

/// Sends the head with the first event: until then the request can still be retried at another target.
void exchange::relay(std::string_view events)
{
    if (!m_streamStarted) {
        m_streamStarted = true;
        m_firstEventAt = loopNow();
        m_gateway.m_metrics.observe(metric::FirstToken, m_firstEventAt - m_arrivedAt);
        header_list headers = m_attempt->head.headers;
        headers.dropConnectionFields();
        m_caller->startStream(m_attempt->head.status, std::move(headers));
    }
    m_caller->sendPart(events);
}

void exchange::onComplete(attempt &one)
{
    onHeard(one);
    if (one.peer) {
        onPeerAnswer(one);
        return;
    }
    const answer_facts facts = m_gateway.m_dialect.readAnswer(one.head, one.target);
    if (facts.displaced && m_gateway.m_pool.displace(loopNow(), one.target)) {
        m_gateway.m_log.write(loopNow(), log_line("target-displaced").with("target", one.target).with("by", "answer"));
    }
    const int status = one.head.status;
    const bool promises = status == 408 || status == 421 || status == 429 || status == 503;
    const bool good = status >= 200 && status < 300;
    if (facts.notRun && status == statusNoRoom) {
        m_gateway.m_pool.noteTurnedAway(loopNow(), one.target);
    }
    if (facts.wrongTarget) {
        m_gateway.m_pool.noteAbsent(loopNow(), one.target, m_facts.model, m_facts.adapter);
    }
    if (facts.notRun || facts.wrongTarget) {
        handleAttemptEnd(one, attempt_outcome::NotRun);
    } else if (one.relaysEvents) {
        onStreamEnd(one);
    } else if (promises || (good && !facts.signedByTarget) || m_streamStarted) {
        // An answer like this from a target that doesn't state that the request wasn't run leaves that open. What is no
        // stream can't continue one.
        handleAttemptEnd(one, attempt_outcome::Broken);
    } else if (status >= 500) {
        handleAttemptEnd(one, attempt_outcome::Failed);
    } else {
        m_gateway.m_pool.succeeded(loopNow(), one.target);
        settleOn(one);
        relayWholeAnswer();
    }
}

void exchange::onStreamEnd(attempt &one)
{
    const answer_framing framing = one.head.framing;
    const std::string events = one.scanner.finish();
    const stream_end end = one.scanner.judge(framing);
    if (events.empty() && end != stream_end::Whole) {
        onBrokenOff(one, nameOf(end), framing == answer_framing::Connection);
        return;
    }
    settleOn(one);
    if (!events.empty()) {
        onEvents(events);
    }
    if (end != stream_end::Whole) {
        onBrokenOff(*m_attempt, nameOf(end), framing == answer_framing::Connection);
        return;
    }
    m_gateway.m_pool.succeeded(loopNow(), m_attempt->target);
    // What is left is no event: comments.
    const std::string rest = m_attempt->scanner.rest();
    if (!m_streamStarted || !rest.empty()) {
        relay(rest);
    }
    m_caller->endStream();
    finish("answered", "stream");
}

void exchange::relayWholeAnswer()
{
    header_list headers = m_attempt->head.headers;
    headers.dropConnectionFields();
    if (m_streamStarted) {
        // The target at which the stream was resumed answered with something else than a stream.
        m_caller->abort();
        finish("failed", "broken-stream");
        return;
    }
    const std::string body = std::move(m_attempt->body);
    m_attempt->held.set(0); // from here on, the caller's connection counts it
    m_caller->respond(m_attempt->head.status, std::move(headers), body);
    finish("answered", "whole");
}

} // namespace fuchsialoom
