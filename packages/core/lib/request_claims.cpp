/// \file
/// The request path's decisions: the claim behind an idempotency key, and the end of a request.
#include "fuchsialoom/core/request_machine.h"

#include <cassert>

namespace fuchsialoom
{

static constexpr std::size_t largestRecordedAnswer = 16384;
static constexpr milliseconds defaultRetryAfter{1000};

void request_machine::placeClaim(open_request &open)
{
    open.phase = request_phase::Claiming;
    m_lastClaim = claim_number(m_lastClaim.value() + 1);
    open.claim = m_lastClaim;
    act(place_claim{open.request.id, *open.request.key, open.request.body, open.request.deadline, open.claim});
}

/// Voids the claim of a request that will not run, decided or not.
void request_machine::giveUpClaim(open_request &open)
{
    const bool undecided = open.phase == request_phase::Claiming;
    if (!open.claimed && !undecided) {
        return;
    }
    assert(!open.mayHaveReached && "a claim is voided only when its request was not run");
    open.claimed = false;
    if (undecided) {
        m_givenUpClaims.emplace(open.request.id, given_up_claim{*open.request.key, open.claim});
    }
    act(void_claim{key_abandon{*open.request.key, open.request.id}, open.claim});
}

void request_machine::handle(const claim_decided &event)
{
    const auto givenUp = m_givenUpClaims.find(event.request);
    if (givenUp != m_givenUpClaims.end()) {
        if (event.verdict == claim_verdict::Won) {
            act(void_claim{key_abandon{givenUp->second.key, event.request}, givenUp->second.number});
        }
        m_givenUpClaims.erase(givenUp);
        return;
    }
    const auto found = m_open.find(event.request);
    if (found == m_open.end() || found->second.phase != request_phase::Claiming) {
        return; // repeated
    }
    open_request &open = found->second;
    open.phase = request_phase::Queued; // decided; what fails from here on has no claim to give up but a won one
    if (event.verdict == claim_verdict::Won) {
        open.claimed = true;
        admitClaimed(open);
        return;
    }
    switch (event.verdict) {
    case claim_verdict::Won:
        return;
    case claim_verdict::InProgress:
        fail(event.request,
             failure{error_kind::InProgress,
                     "another request with this idempotency key is in progress",
                     outcome::Unknown,
                     event.retryAfter.value_or(defaultRetryAfter)});
        return;
    case claim_verdict::Recorded:
        answerRecorded(open, event);
        return;
    case claim_verdict::Unknown:
        fail(event.request,
             failure{error_kind::OutcomeUnknown, "whether the key's earlier request ran is unknown", outcome::Unknown, std::nullopt});
        return;
    case claim_verdict::KeyReused:
        fail(event.request,
             failure{error_kind::KeyReused, "the idempotency key was used with another body", outcome::NotRun, std::nullopt});
        return;
    case claim_verdict::LogUnavailable:
        fail(event.request,
             failure{error_kind::LogUnavailable,
                     "the log that keeps idempotency keys can't be reached",
                     outcome::NotRun,
                     event.retryAfter.value_or(defaultRetryAfter)});
        return;
    }
}

void request_machine::admitClaimed(open_request &open)
{
    if (const std::optional<instant> until = m_quarantine.until(m_now, open.request.fingerprint)) {
        failQuarantined(open, *until);
        return;
    }
    if (open.request.deadline <= m_now) {
        failWith(open, error_kind::DeadlineExpired, "the deadline passed before the claim was decided", std::nullopt);
        return;
    }
    const incoming_request request = open.request; // outlives `open`, which the pump may close
    enqueue(open);
    pump();
    enforceLimit(request);
}

void request_machine::answerRecorded(open_request &open, const claim_decided &event)
{
    if (!event.recorded) {
        fail(event.request, failure{error_kind::OutcomeUnknown, "the key's recorded outcome is missing", outcome::Unknown, std::nullopt});
        return;
    }
    const request_id id = open.request.id;
    act(answer_recorded{id, *event.recorded});
    m_open.erase(id);
}

/// Ends the request with the outcome that its attempts leave.
void request_machine::failWith(open_request &open, error_kind kind, const std::string &detail, std::optional<milliseconds> retryAfter)
{
    const outcome known = open.mayHaveReached ? outcome::Unknown : outcome::NotRun;
    fail(open.request.id, failure{kind, detail + ": request '" + open.request.id.text() + "'", known, retryAfter});
}

/// Ends the request with what became of its latest attempt.
void request_machine::failLastEnd(open_request &open)
{
    const bool mayComeBack = open.mayRepeat();
    const std::optional<milliseconds> retryAfter = mayComeBack ? std::optional(defaultRetryAfter) : std::nullopt;
    const std::string at = " target '" + open.target.text() + "'";
    if (open.attempt.isNone()) {
        failWith(open, error_kind::NoTarget, "no target serves it any more", retryAfter);
        return;
    }
    switch (open.lastEnd) {
    case attempt_end::NotSent:
        failWith(open, error_kind::TargetLost, "could not be sent to" + at, retryAfter);
        return;
    case attempt_end::Refused:
        failWith(open, error_kind::TargetRefused, "was refused by" + at, retryAfter);
        return;
    case attempt_end::Silent:
        failWith(open, error_kind::TargetSilent, "went silent at" + at, retryAfter);
        return;
    case attempt_end::FrameMissing:
        failWith(open, error_kind::StreamBroken, "lost a token at" + at, retryAfter);
        return;
    case attempt_end::StreamForgotten:
        failWith(open, error_kind::StreamBroken, "was forgotten by" + at, retryAfter);
        return;
    case attempt_end::Lost:
    case attempt_end::Completed:
    case attempt_end::DeadlinePassed:
        failWith(open, error_kind::TargetLost, "was lost with the connection to" + at, retryAfter);
        return;
    }
}

void request_machine::fail(const request_id &id, failure what)
{
    const auto found = m_open.find(id);
    assert(found != m_open.end() && "only open requests fail");
    open_request &open = found->second;
    m_queue.remove(id);
    if (open.claimed && open.mayHaveReached) {
        act(settle_claim{key_outcome{*open.request.key, id, outcome::Unknown, 0, {}, std::nullopt}, open.claim});
    } else {
        giveUpClaim(open);
    }
    const event_kind kind = open.attempt.isNone() ? event_kind::RequestRefused : event_kind::RequestFailed;
    emit(timeline_event(kind, id.text()).with(event_field::Error, what.kind).with(event_field::Outcome, what.known));
    if (!open.callerGone) {
        act(answer_failure{id, std::move(what)});
    }
    m_open.erase(found);
}

void request_machine::complete(open_request &open, const attempt_ended &event)
{
    const request_id id = open.request.id;
    const content_hash fingerprint = open.request.fingerprint;
    if (open.claimed) {
        key_outcome result{*open.request.key, id, outcome::Ran, event.status, event.contentType, std::nullopt};
        if (event.answer && event.answer->size() <= largestRecordedAnswer) {
            result.answer = event.answer;
        }
        act(settle_claim{std::move(result), open.claim});
    }
    emit(timeline_event(event_kind::RequestFinished, id.text()).with(event_field::Target, open.target));
    if (!open.callerGone) {
        act(request_done{id});
    }
    m_open.erase(id);
    if (m_quarantine.isAccused(fingerprint)) {
        m_quarantine.clear(fingerprint);
        accusedChanged(fingerprint);
    }
}

} // namespace fuchsialoom
