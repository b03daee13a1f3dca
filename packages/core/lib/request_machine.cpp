/// \file
/// The request path's decisions: events, admission, deadlines.
#include "fuchsialoom/core/request_machine.h"

#include "fuchsialoom/core/router.h"
#include "fuchsialoom/core/stream_id.h"

#include <utility>

namespace fuchsialoom
{

static constexpr milliseconds noTargetRetryAfter{1000};
static constexpr milliseconds openRequestRetryAfter{500};
static constexpr milliseconds sweepEvery{20};
/// A worker reports the end of its attempt at the deadline by itself; this is for one that doesn't.
static constexpr milliseconds attemptEndGrace{250};

request_machine::request_machine(domain_id ownDomain)
    : m_targets(std::move(ownDomain))
    , m_quarantine(m_policy.quarantine)
{
}

std::vector<request_action> request_machine::step(instant now, const request_event &event)
{
    m_now = now;
    std::visit(
        [&](const auto &one) {
            handle(one);
        },
        event);
    if (m_now >= m_sweepAt) {
        sweep();
    }
    pump();
    return std::exchange(m_actions, {});
}

void request_machine::emit(timeline_event event)
{
    act(emit_event{std::move(event)});
}

std::optional<failure> request_machine::refusalOf(const incoming_request &request) const
{
    const std::string name = "request '" + request.id.text() + "'";
    if (m_open.contains(request.id) || m_givenUpClaims.contains(request.id)) {
        // Unknown, for the one that is open under this id may run.
        return failure{error_kind::InProgress, name + " is in progress at this VM", outcome::Unknown, openRequestRetryAfter};
    }
    if (m_draining) {
        return failure{error_kind::Draining, "this VM is draining", outcome::NotRun, milliseconds(0)};
    }
    if (request.deadline <= m_now) {
        return failure{error_kind::DeadlineExpired, "the deadline of " + name + " has passed", outcome::NotRun, std::nullopt};
    }
    if (const std::optional<instant> until = m_quarantine.until(m_now, request.fingerprint)) {
        const auto rest = std::chrono::ceil<milliseconds>(*until - m_now);
        return failure{error_kind::Quarantined, name + " is like one that killed targets", outcome::NotRun, rest};
    }
    if (!isServed(m_targets, request)) {
        const std::string wanted =
            request.kind == target_kind::Engine ? "model '" + request.model.text() : "service '" + request.service.text();
        return failure{error_kind::NoTarget, "no target serves " + wanted + "'", outcome::NotRun, noTargetRetryAfter};
    }
    return std::nullopt;
}

void request_machine::refuseArrival(const incoming_request &request, failure what)
{
    emit(timeline_event(event_kind::RequestRefused, request.id.text())
             .with(event_field::Error, what.kind)
             .with(event_field::Outcome, what.known));
    act(answer_failure{request.id, std::move(what)});
}

void request_machine::handle(const request_arrived &event)
{
    const incoming_request &request = event.request;
    emit(timeline_event(event_kind::RequestArrived, request.id.text())
             .with(event_field::Brand, request.brand)
             .with(event_field::Service, request.service));
    if (std::optional<failure> refusal = refusalOf(request)) {
        refuseArrival(request, std::move(*refusal));
        return;
    }
    open_request &open = m_open[request.id];
    open.request = request;
    open.stream = markOf(streamIdOf(request));
    if (request.isClaimed()) {
        placeClaim(open);
        return;
    }
    enqueue(open);
    pump();
    enforceLimit(request);
}

void request_machine::handle(const first_token_seen &)
{
    // The first token proves nothing that a decision here rests on: a poison request may crash later.
}

void request_machine::handle(const caller_gone &event)
{
    const auto found = m_open.find(event.request);
    if (found == m_open.end() || found->second.callerGone) {
        return;
    }
    open_request &open = found->second;
    emit(timeline_event(event_kind::RequestCancelled, event.request.text()).with(event_field::Target, open.target));
    const bool outcomeMatters = open.claimed && (open.phase == request_phase::Running || open.phase == request_phase::Held);
    if (outcomeMatters) {
        open.callerGone = true;
        return;
    }
    if (open.phase == request_phase::Running || open.keepsPlace) {
        cancel(open);
        leaveTarget(open, open.keepsPlace ? attempt_end::Lost : attempt_end::Silent);
    }
    giveUpClaim(open);
    m_queue.remove(event.request);
    m_open.erase(found);
}

void request_machine::handle(const target_listed &event)
{
    const listing_effect effect = m_targets.list(event.target);
    if (effect == listing_effect::Joined) {
        emit(timeline_event(event_kind::TargetJoined, event.target.id.text()).with(event_field::Domain, event.target.domain));
    } else if (effect == listing_effect::Leaving) {
        emit(timeline_event(event_kind::TargetLeaving, event.target.id.text()));
    }
}

void request_machine::handle(const target_lost &event)
{
    const target_entry *entry = m_targets.find(event.target);
    if (entry == nullptr) {
        return;
    }
    const incarnation_number incarnation = entry->incarnation();
    const bool leftInOrder = entry->listed.state == listed_state::Leaving;
    m_targets.remove(event.target);
    m_cache.drop(event.target);
    emit(timeline_event(event_kind::TargetGone, event.target.text()).with(event_field::Incarnation, incarnation));
    // A target that left as announced was not killed. Streams still on it run to their own end.
    if (!leftInOrder) {
        targetDied(event.target, incarnation, false);
    }
}

void request_machine::handle(const target_silent &event)
{
    const target_entry *entry = m_targets.find(event.target);
    if (entry == nullptr) {
        return;
    }
    m_targets.setSilent(event.target);
    emit(timeline_event(event_kind::TargetGone, event.target.text())
             .with(event_field::Incarnation, entry->incarnation())
             .with(event_field::Cause, "silent"));
    // Silence alone is no death. Together with a broken connection it is.
    if (entry->listed.state != listed_state::Leaving) {
        accuseBroken(event.target, entry->incarnation(), false);
    }
}

void request_machine::handle(const target_found_dead &event)
{
    const target_entry *entry = m_targets.find(event.target);
    if (entry == nullptr || entry->incarnation() != event.incarnation) {
        return;
    }
    m_cache.drop(event.target);
    m_targets.avoid(m_now, event.target);
    emit(timeline_event(event_kind::TargetGone, event.target.text())
             .with(event_field::Incarnation, event.incarnation)
             .with(event_field::Cause, "refuses connections"));
    targetDied(event.target, event.incarnation, entry->listed.state == listed_state::Leaving);
}

void request_machine::handle(const load_reported &event)
{
    const target_entry *entry = m_targets.find(event.report.target);
    const incarnation_number before = entry == nullptr ? incarnation_number() : entry->incarnation();
    const bool leaving = entry != nullptr && entry->listed.state == listed_state::Leaving;
    const report_effect effect = m_targets.report(event.report);
    if (effect == report_effect::Restarted) {
        m_cache.drop(event.report.target);
        emit(timeline_event(event_kind::TargetRestarted, event.report.target.text())
                 .with(event_field::Incarnation, event.report.incarnation));
        targetDied(event.report.target, before, leaving);
    } else if (effect == report_effect::Taken) {
        targetAlive(event.report);
    }
}

void request_machine::handle(const cache_reported &event)
{
    if (m_targets.find(event.batch.target) == nullptr) {
        return;
    }
    if (!m_cache.apply(event.batch)) {
        emit(timeline_event(event_kind::CacheIndexDropped, event.batch.target.text()).with(event_field::Cause, "gap"));
    }
}

void request_machine::handle(const drain_started &)
{
    if (!m_draining) {
        m_draining = true;
        emit(timeline_event(event_kind::VmDraining, "requests").with(event_field::Count, m_open.size()));
    }
}

void request_machine::handle(const policy_changed &event)
{
    m_policy = event.policy;
    m_quarantine.setLength(m_policy.quarantine);
}

void request_machine::handle(const time_passed &)
{
    m_sweepAt = m_now;
}

void request_machine::sweepDeadline(open_request &open)
{
    if (open.phase == request_phase::Claiming && open.request.deadline <= m_now) {
        failWith(open, error_kind::DeadlineExpired, "the deadline passed before the claim was decided", std::nullopt);
    } else if (open.phase == request_phase::Held) {
        if (open.verdictBy && open.request.deadline <= m_now) {
            open.verdictBy = m_now;
        }
        releaseIfDue(open);
    } else if (open.phase == request_phase::Queued) {
        sweepLease(open);
    } else if (open.phase == request_phase::Running && open.request.deadline + attemptEndGrace <= m_now) {
        endAttempt(open, attempt_end::DeadlinePassed);
    }
}

void request_machine::refuseUnreachable(const std::vector<request_id> &requests)
{
    for (const request_id &id : requests) {
        open_request &open = m_open.at(id);
        if (open.request.deadline <= m_now) {
            // What waited to be tried apart may come back: then others may be over.
            const bool apart = m_quarantine.isAccused(open.request.fingerprint);
            const auto retryAfter = apart ? std::optional(m_queue.retryAfter(m_now, laneOf(open))) : std::nullopt;
            failWith(open, error_kind::DeadlineExpired, "the deadline passed in the queue", retryAfter);
        } else {
            failWith(open,
                     error_kind::DeadlineUnreachable,
                     "the queue drains too slowly for the deadline",
                     m_queue.retryAfter(m_now, laneOf(open)));
        }
    }
}

void request_machine::sweep()
{
    m_sweepAt = m_now + sweepEvery;
    m_targets.forgive(m_now);
    for (const content_hash fingerprint : m_quarantine.expire(m_now)) {
        emit(timeline_event(event_kind::QuarantineExpired, std::to_string(fingerprint.value())));
        accusedChanged(fingerprint);
    }
    for (auto next = m_open.begin(); next != m_open.end();) {
        const auto current = next++; // the current one may be closed
        sweepDeadline(current->second);
    }
    refuseUnreachable(m_queue.unreachable(m_now));
}

} // namespace fuchsialoom
