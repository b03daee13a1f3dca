/// \file
/// One caller's request as its worker thread sees it.
#include "fuchsialoom/node/request_session.h"

#include "fuchsialoom/core/stream_id.h"
#include "fuchsialoom/node/node_clock.h"
#include "fuchsialoom/wire/connect_probe.h"
#include "fuchsialoom/wire/watch_client.h"

#include <algorithm>
#include <utility>

namespace fuchsialoom
{

/// How often a waiting worker looks whether its caller is still there.
static constexpr milliseconds callerPoll{100};
/// A repeat of a running request may come back after this.
static constexpr milliseconds inProgressRetryAfter{1000};
static constexpr int looksAtBrokenTarget = 3;
static constexpr milliseconds probeTimeout{300};
/// A larger answer isn't kept behind its key.
static constexpr std::size_t largestKeptAnswer = 64UL * 1024;

request_session::request_session(session_input input, session_services services)
    : m_input(std::move(input))
    , m_services(services)
    , m_stream(streamIdOf(m_input.request))
    , m_relay(m_stream)
    , m_arrivedAt(monotonicNow())
    , m_lastTokenAt(m_arrivedAt)
{
}

request_session::~request_session()
{
    if (m_mailbox && !m_ended) {
        m_services.decisions.post(caller_gone{m_input.request.id});
    }
}

real_deadline request_session::deadline() const
{
    return toRealDeadline(m_input.request.deadline);
}

session_result request_session::begin(const std::function<bool()> &connected)
{
    m_mailbox = m_services.decisions.submit(m_input.request);
    if (!m_mailbox) {
        return failure{error_kind::InProgress,
                       "a request with id '" + m_input.request.id.text() + "' is in progress",
                       outcome::Unknown,
                       inProgressRetryAfter};
    }
    for (;;) {
        if (std::optional<session_result> result = next(connected)) {
            return std::move(*result);
        }
    }
}

/// Ends the request from this side.
session_result request_session::leave(error_kind why, std::string detail)
{
    m_services.decisions.post(caller_gone{m_input.request.id});
    m_ended = true;
    return failure{why, std::move(detail), m_mayHaveRun ? outcome::Unknown : outcome::NotRun, std::nullopt};
}

/// What may run only once is followed to its end without its caller, for the record behind its key.
bool request_session::outlivesCaller() const
{
    return m_mayHaveRun && m_input.request.key && !m_input.request.repeatable;
}

/// Whether the caller is gone and nothing else needs the answer.
bool request_session::mayLeave(const std::function<bool()> &connected) const
{
    return !outlivesCaller() && !connected();
}

/// Waits for one decision. \return nothing where the caller is gone or the decision is overdue.
std::optional<request_action> request_session::await(const std::function<bool()> &connected)
{
    const real_deadline giveUpAt = deadline() + m_input.decisionMargin;
    for (;;) {
        const real_deadline now = std::chrono::steady_clock::now();
        std::optional<request_action> action = m_mailbox->popUntil(std::min(now + callerPoll, giveUpAt));
        if (action || now >= giveUpAt || mayLeave(connected)) {
            return action;
        }
    }
}

/// Waits for one decision and carries it out.
std::optional<session_result> request_session::next(const std::function<bool()> &connected)
{
    const std::optional<request_action> action = await(connected);
    if (action) {
        return carryOut(*action);
    }
    if (mayLeave(connected)) {
        return leave(error_kind::CallerGone, "the caller closed its connection");
    }
    return leave(error_kind::DeadlineExpired, "the deadline of request '" + m_input.request.id.text() + "' has passed");
}

std::optional<session_result> request_session::carryOut(const request_action &action)
{
    if (const start_attempt *start = std::get_if<start_attempt>(&action)) {
        return attempt(*start);
    }
    m_ended = true;
    if (const answer_failure *refused = std::get_if<answer_failure>(&action)) {
        return refused->what;
    }
    if (const answer_recorded *recorded = std::get_if<answer_recorded>(&action)) {
        return recorded->recorded;
    }
    if (m_answer) {
        return std::move(*m_answer);
    }
    if (!m_relay.finished()) {
        return failure{error_kind::StreamBroken, "the answer ended before it was whole", outcome::Unknown, std::nullopt};
    }
    return stream_finished{};
}

target_request request_session::describe(const start_attempt &action) const
{
    const incoming_request &from = m_input.request;
    return target_request{from.kind == target_kind::Engine ? m_stream : from.id,
                          action.attempt,
                          from.model,
                          from.version,
                          from.adapter,
                          from.priority,
                          m_input.body,
                          m_relay.text(),
                          m_relay.nextOffset()};
}

std::optional<session_result> request_session::attempt(const start_attempt &action)
{
    m_running = action;
    if (action.resume) {
        m_services.metrics.add(metric::Resumes);
    } else if (action.attempt.value() > 1) {
        m_services.metrics.add(metric::Retries);
    }
    if (m_answer || m_relay.finished()) {
        // The decisions gave the last attempt up just when it was done.
        report(attempt_end::Completed);
        return std::nullopt;
    }
    if (m_input.request.kind == target_kind::Plain) {
        return callPlain(action);
    }
    // A resumed stream's frames carry the attempt under which it started; of one that ran there already the
    // relay alone knows which that is.
    const attempt_end end = action.resume ? adopt(action, m_relay.streamAttempt()) : startStream(action);
    if (end == attempt_end::Completed) {
        return stream_started{};
    }
    report(end);
    return std::nullopt;
}

/// Takes up a stream of this request that runs at the target already, if its text fits.
attempt_end request_session::adopt(const start_attempt &action, std::optional<attempt_number> streamAttempt)
{
    m_mayHaveRun = true;
    switch (m_origins.judge(action.target, m_relay.nextOffset())) {
    case found_stream::Usable:
        m_relay.attach(streamAttempt);
        m_origins.attempted(action.target);
        return attempt_end::Completed;
    case found_stream::Stale:
        engine_client(action.address).cancel(m_stream, std::min(deadline(), std::chrono::steady_clock::now() + m_input.progressTimeout));
        return attempt_end::StreamForgotten;
    case found_stream::Foreign:
        return attempt_end::StreamForgotten;
    }
    return attempt_end::StreamForgotten;
}

attempt_end request_session::startStream(const start_attempt &action)
{
    const start_result result = engine_client(action.address).start(describe(action), m_input.progressTimeout, deadline());
    if (result.end == attempt_end::NotSent || result.end == attempt_end::Refused) {
        return result.end;
    }
    m_mayHaveRun = true;
    if (result.end == attempt_end::Completed && result.ranAlready) {
        return adopt(action, std::nullopt);
    }
    m_origins.attempted(action.target);
    m_relay.attach(action.attempt);
    return result.end;
}

std::optional<session_result> request_session::callPlain(const start_attempt &action)
{
    plain_answer answer = engine_client(action.address).call(m_input.request.service, describe(action), deadline());
    m_mayHaveRun = m_mayHaveRun || (answer.end != attempt_end::NotSent && answer.end != attempt_end::Refused);
    if (answer.end == attempt_end::Completed) {
        m_answer = whole_answer{answer.status, std::move(answer.contentType), std::move(answer.body)};
    }
    report(answer.end);
    return std::nullopt;
}

/// What a keyed request's record is made of.
static void fillRecord(attempt_ended &ended, const whole_answer &answer, bool isKeyed)
{
    ended.status = answer.status;
    ended.contentType = answer.contentType;
    if (isKeyed && answer.body.size() <= largestKeptAnswer) {
        ended.answer = answer.body;
    }
}

/// The connection broke. Finds out at once whether the target's process died with it, so that the
/// decisions needn't carry what killed it to the next target before the watchers notice.
/// \return the process that answered, none where nothing is proved.
incarnation_number request_session::examineTarget()
{
    for (int look = 0; look < looksAtBrokenTarget; ++look) {
        const instant now = monotonicNow();
        const real_deadline deadline = toRealDeadline(now + probeTimeout);
        switch (probeConnection(m_running->address, deadline)) {
        case probe_result::Refused:
            m_services.decisions.post(target_found_dead{m_running->target, m_running->incarnation});
            return {};
        case probe_result::Unclear:
            return {};
        case probe_result::Accepted:
            break;
        }
        if (m_input.request.kind == target_kind::Plain) {
            return {};
        }
        // A dying process may still accept for a moment; one that answers lives.
        if (std::optional<aged_report> alive = watch_client(m_running->address).load(m_running->target, deadline)) {
            const incarnation_number process = alive->report.incarnation;
            alive->report.takenAt = now - alive->age;
            m_services.decisions.post(load_reported{std::move(alive->report)});
            return process;
        }
    }
    return {};
}

void request_session::report(attempt_end end)
{
    attempt_ended ended{m_input.request.id, m_running->attempt, end, m_relay.nextOffset(), 0, {}, std::nullopt};
    if (end == attempt_end::Lost) {
        ended.foundAlive = examineTarget();
    }
    const bool isKeyed = m_input.request.key.has_value();
    if (m_answer) {
        fillRecord(ended, *m_answer, isKeyed);
    } else if (end == attempt_end::Completed && m_input.wholeAnswer && isKeyed) {
        fillRecord(ended, m_input.wholeAnswer(m_relay.text()), isKeyed);
    }
    m_services.metrics.add(metric::Attempts, {{metric_label::End, end}});
    m_services.decisions.post(std::move(ended));
}

session_result request_session::deliver(const caller_sink &sink)
{
    for (;;) {
        attempt_end end = attempt_end::Lost;
        switch (followAttempt(sink, end)) {
        case follow_end::CallerGone:
            return leave(error_kind::CallerGone, "the caller closed its connection");
        case follow_end::Ended:
            report(end);
            break;
        case follow_end::Superseded:
            break;
        }
        std::optional<session_result> result;
        while (!result) {
            result = next(sink.connected);
        }
        if (!std::holds_alternative<stream_started>(*result)) {
            return std::move(*result);
        }
    }
}

void request_session::tokenDelivered(bool firstOfAttempt)
{
    const instant now = monotonicNow();
    const bool firstOfAll = m_relay.nextOffset() == 1;
    m_services.metrics.observe(firstOfAll ? metric::FirstToken : metric::TokenGap, now - m_lastTokenAt);
    m_lastTokenAt = now;
    if (firstOfAttempt) {
        m_origins.delivered(m_running->target);
        m_services.decisions.post(first_token_seen{m_running->request, m_running->attempt});
    }
}

void request_session::reportDropped(std::uint64_t before)
{
    const std::uint64_t dropped = m_relay.dropped() - before;
    if (dropped == 0) {
        return;
    }
    m_services.metrics.add(metric::FramesDropped, {}, dropped);
    m_services.events.emit(timeline_event(event_kind::FrameDropped, m_input.request.id.text())
                               .with(event_field::Target, m_running->target)
                               .with(event_field::Attempt, m_running->attempt)
                               .with(event_field::Count, dropped));
}

/// A new connection may have the token that this one skipped.
attempt_end request_session::brokenEnd() const
{
    m_services.events.emit(timeline_event(event_kind::StreamBroken, m_input.request.id.text())
                               .with(event_field::Target, m_running->target)
                               .with(event_field::Attempt, m_running->attempt)
                               .with(event_field::TokenOffset, m_relay.nextOffset()));
    return attempt_end::FrameMissing;
}

request_session::follow_end request_session::followAttempt(const caller_sink &sink, attempt_end &end)
{
    const std::uint64_t droppedBefore = m_relay.dropped();
    const std::uint64_t firstOffset = m_relay.nextOffset();
    follow_end how = follow_end::Ended;
    bool isBroken = false;
    const auto onFrame = [&](const token_frame &frame) {
        switch (m_relay.take(frame)) {
        case frame_verdict::Finished:
            return frame_reply::Finished;
        case frame_verdict::Broken:
            isBroken = true;
            return frame_reply::Stop;
        case frame_verdict::Delivered:
            tokenDelivered(m_relay.nextOffset() == firstOffset + 1);
            m_callerGone = m_callerGone || !sink.write(frame.text);
            if (m_callerGone && !outlivesCaller()) {
                how = follow_end::CallerGone;
                return frame_reply::Stop;
            }
            break;
        case frame_verdict::Dropped:
            break;
        }
        if (m_mailbox->pending()) {
            how = follow_end::Superseded;
            return frame_reply::Stop;
        }
        return frame_reply::More;
    };
    end = engine_client(m_running->address).follow(m_stream, firstOffset, m_input.progressTimeout, deadline(), onFrame);
    reportDropped(droppedBefore);
    if (isBroken) {
        end = brokenEnd();
    }
    return how;
}

} // namespace fuchsialoom
