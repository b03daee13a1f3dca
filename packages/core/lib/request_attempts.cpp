/// \file
/// The request path's decisions: dispatch, how attempts end, resumes and retries.
#include "fuchsialoom/core/request_machine.h"
#include "fuchsialoom/core/router.h"

#include <algorithm>
#include <cassert>
#include <set>

namespace fuchsialoom
{

static constexpr milliseconds spentBudgetRetryAfter{1000};
/// A target whose connection broke under a lease is leased to nobody for so long: time for the watchers of
/// every VM to find it dead, or the next accused request would be sent to a dead process and charged with it.
static constexpr seconds leaseRest{2};

lane_key request_machine::laneOf(const open_request &open) const
{
    const incoming_request &request = open.request;
    lane_key lane;
    lane.kind = request.kind;
    if (request.kind == target_kind::Engine) {
        lane.serves = request.model.text();
        lane.version = request.version;
    } else {
        lane.serves = request.service.text();
    }
    if (!open.tried.empty() || m_quarantine.isAccused(request.fingerprint)) {
        lane.alone = request.id;
    }
    return lane;
}

void request_machine::enqueue(open_request &open)
{
    const incoming_request &request = open.request;
    open.phase = request_phase::Queued;
    open.leaseAsked.reset(); // an answer to come is for an earlier wait
    m_queue.push(queued_request{request.id,
                                laneOf(open),
                                request.brand,
                                request.service,
                                request.brandShare,
                                request.priority,
                                request.deadline,
                                open.attempt.isNone()});
}

/// After an arrival found no target at once: keeps the service's queue within its bound, and refuses
/// what the arrival pushed beyond its deadline.
void request_machine::enforceLimit(const incoming_request &request)
{
    const auto found = m_open.find(request.id);
    if (found == m_open.end() || found->second.phase != request_phase::Queued) {
        return;
    }
    const lane_key lane = laneOf(found->second);
    emit(timeline_event(event_kind::RequestQueued, request.id.text()).with(event_field::Count, m_queue.size()));
    if (const std::optional<request_id> worst = m_queue.overflow(request.brand, request.service, request.queueLimit)) {
        open_request &open = m_open.at(*worst);
        failWith(open, error_kind::Overloaded, "the queue of the service is full", m_queue.retryAfter(m_now, laneOf(open)));
    }
    refuseUnreachable(m_queue.unreachable(m_now, lane));
}

void request_machine::pump()
{
    std::set<lane_key> blocked;
    for (;;) {
        const queued_request *head = m_queue.next(blocked);
        if (head == nullptr) {
            break;
        }
        open_request &open = m_open.at(head->id);
        if (open.request.deadline <= m_now) {
            refuseUnreachable({head->id});
            continue;
        }
        const bool apart = m_quarantine.isAccused(open.request.fingerprint);
        if (apart && open.leaseAsked) {
            blocked.insert(head->lane);
            continue;
        }
        const route chosen = findRoute(m_targets, m_cache, route_query{open.request, open.tried, apart, open.stream});
        if (chosen.target != nullptr && apart) {
            askLease(open, chosen.target->listed.id);
        } else if (chosen.target != nullptr) {
            m_queue.depart(m_now, open.request.id);
            dispatch(open, chosen);
        } else if (chosen.anyServes) {
            blocked.insert(head->lane);
        } else {
            failLastEnd(open);
        }
    }
    m_queue.settle(m_now);
}

void request_machine::dispatch(open_request &open, const route &chosen)
{
    assert(open.mayRepeat() && !open.callerGone && "what may have run starts again only when repeatable");
    const incoming_request &request = open.request;
    const target_entry &target = *chosen.target;
    if (open.attempt.isNone()) {
        m_budgets[service_key(request.brand, request.service)].payIn(request.retryBudgetPercent);
    }
    open.phase = request_phase::Running;
    open.leaseAsked.reset();
    open.attempt = attempt_number(open.attempt.value() + 1);
    open.target = target.listed.id;
    open.address = target.listed.address;
    open.incarnation = target.incarnation();
    open.resumed = false;
    open.accused = false;
    m_targets.start(open.target, sent_attempt{request.id, request.fingerprint, m_now});
    recountAccused(open.target);
    const event_kind kind = open.attempt.value() == 1 ? event_kind::RequestDispatched : event_kind::AttemptMoved;
    timeline_event started = timeline_event(kind, request.id.text())
                                 .with(event_field::Target, open.target)
                                 .with(event_field::Attempt, open.attempt)
                                 .with(event_field::Score, chosen.score);
    emit(chosen.runsThere ? std::move(started).with(event_field::Cause, "its stream runs there") : std::move(started));
    act(start_attempt{request.id, open.attempt, open.target, open.address, open.incarnation, false});
}

void request_machine::leaveTarget(open_request &open, attempt_end end)
{
    m_targets.end(open.target, open.request.id);
    recountAccused(open.target);
    if (open.holdsLease) {
        open.holdsLease = false;
        const bool mayBeDead = end == attempt_end::Lost || end == attempt_end::NotSent;
        endLease(open.request.id, open.target, mayBeDead ? m_now + leaseRest : m_now);
    }
}

void request_machine::cancel(const open_request &open)
{
    act(cancel_attempt{open.request.id, open.attempt, open.target, open.address});
}

void request_machine::handle(const attempt_ended &event)
{
    const auto found = m_open.find(event.request);
    if (found == m_open.end() || found->second.phase != request_phase::Running || found->second.attempt != event.attempt) {
        return; // late or repeated
    }
    open_request &open = found->second;
    emit(timeline_event(event_kind::AttemptEnded, event.request.text())
             .with(event_field::Target, open.target)
             .with(event_field::Attempt, event.attempt)
             .with(event_field::Cause, event.end)
             .with(event_field::TokenOffset, event.deliveredTokens));
    open.deliveredTokens = event.deliveredTokens;
    open.provedAlive = open.isAt(event.foundAlive);
    if (isFollowedOn(open, event.end)) {
        resume(open);
        return;
    }
    if (event.end == attempt_end::Completed) {
        leaveTarget(open, event.end);
        complete(open, event);
        return;
    }
    endAttempt(open, event.end);
}

/// No attempt of the request goes to the process at which its latest attempt was.
void request_machine::giveUpTarget(open_request &open)
{
    leaveTarget(open, open.lastEnd);
    open.keepsPlace = false;
    open.tried.push_back(tried_target{open.target, open.incarnation});
}

/// The attempt in progress ended without its answer.
void request_machine::endAttempt(open_request &open, attempt_end end)
{
    open.lastEnd = end;
    if (end == attempt_end::NotSent || end == attempt_end::Refused) {
        // Or each request that draws the target at an equal score would pay a retry: until the watchers find it
        // dead, or for as long as it refuses.
        m_targets.avoid(m_now, open.target);
    }
    switch (end) {
    case attempt_end::NotSent:
    case attempt_end::Refused:
        if (!open.resumed) {
            giveUpTarget(open);
            afterAttempt(open);
            return;
        }
        // Of a resume they say nothing of the stream that started before.
        [[fallthrough]];
    case attempt_end::Lost:
        open.mayHaveReached = true;
        holdForVerdict(open);
        return;
    case attempt_end::Silent:
    case attempt_end::FrameMissing:
    case attempt_end::StreamForgotten:
    case attempt_end::DeadlinePassed:
        open.mayHaveReached = true;
        giveUpTarget(open);
        cancel(open);
        afterAttempt(open);
        return;
    case attempt_end::Completed:
        assert(false && "a completed attempt has its answer");
        return;
    }
}

/// Whether nothing newer is known of the target than the process at which the latest attempt was.
bool request_machine::isSameProcess(const open_request &open) const
{
    const target_entry *entry = m_targets.find(open.target);
    return entry != nullptr && (open.incarnation.isNone() || entry->incarnation() == open.incarnation);
}

/// Whether a new connection to the same process could take up the stream. A plain call has none.
bool request_machine::canFollow(const open_request &open) const
{
    return open.request.kind == target_kind::Engine && isSameProcess(open) && !open.callerGone && open.request.deadline > m_now;
}

/// A connection that went silent or broke is worth a new one once without progress in between.
bool request_machine::canResume(const open_request &open) const
{
    const bool progressed = !open.resumed || open.deliveredTokens > open.resumedAt;
    return progressed && canFollow(open);
}

/// Whether the stream of an attempt that ended so is taken up again. A sound target may be silent for longer
/// than a connection is waited for, so a silent one is kept until another could run the request instead.
bool request_machine::isFollowedOn(const open_request &open, attempt_end end)
{
    if (end != attempt_end::Silent && end != attempt_end::FrameMissing) {
        return false;
    }
    const target_entry *entry = m_targets.find(open.target);
    const bool watchersHearIt = entry != nullptr && !entry->silent;
    if (canResume(open) && (watchersHearIt || end == attempt_end::FrameMissing)) {
        return true;
    }
    const bool isQuarantined = m_quarantine.until(m_now, open.request.fingerprint).has_value();
    return end == attempt_end::Silent && canFollow(open) && !isQuarantined && !couldMove(open);
}

/// Whether the request may start again, and a target other than its latest has room for it now.
bool request_machine::couldMove(const open_request &open)
{
    const incoming_request &request = open.request;
    if (!request.repeatable || mayHaveKilledTooMany(open)
        || !m_budgets[service_key(request.brand, request.service)].has(m_now, request.retryBudgetPercent)) {
        return false;
    }
    std::vector<tried_target> tried = open.tried;
    tried.push_back(tried_target{open.target, open.incarnation});
    const bool apart = m_quarantine.isAccused(request.fingerprint);
    return findRoute(m_targets, m_cache, route_query{request, tried, apart, open.stream}).target != nullptr;
}

/// Takes up a stream whose connection broke, where its target is proved to live. Each time costs a retry, or
/// a path that breaks every connection would be asked for ever more of them. \return whether it did.
bool request_machine::resumeBroken(open_request &open)
{
    const incoming_request &request = open.request;
    if (!open.provedAlive || !canResume(open) || m_quarantine.until(m_now, request.fingerprint)) {
        return false;
    }
    if (!m_budgets[service_key(request.brand, request.service)].take(m_now, request.retryBudgetPercent)) {
        return false;
    }
    // From here on the death of the target finds the request as one that runs there.
    m_quarantine.forget(request.id);
    open.verdictBy.reset();
    resume(open);
    return true;
}

void request_machine::resume(open_request &open)
{
    open.phase = request_phase::Running;
    open.keepsPlace = false;
    open.mayHaveReached = true;
    open.resumed = true;
    open.resumedAt = open.deliveredTokens;
    emit(timeline_event(event_kind::AttemptResumed, open.request.id.text())
             .with(event_field::Target, open.target)
             .with(event_field::Attempt, open.attempt)
             .with(event_field::TokenOffset, open.deliveredTokens));
    act(start_attempt{open.request.id, open.attempt, open.target, open.address, open.incarnation, true});
}

/// Goes on once the peers know of an accusation, if there is one.
void request_machine::afterAttempt(open_request &open)
{
    open.phase = request_phase::Held;
    releaseIfDue(open);
}

/// A broken connection alone doesn't say whether its target died, so the request waits shortly for the
/// next news of the target: a retry at once could carry a poison request to a second target unaccused.
/// Where the worker has proved that the target lives there is nothing to wait for.
void request_machine::holdForVerdict(open_request &open)
{
    if (!isSameProcess(open)) {
        giveUpTarget(open);
    } else {
        open.keepsPlace = true;
        open.brokeAt = m_now;
        open.verdictBy = open.provedAlive ? m_now : m_now + m_policy.verdictWait;
        m_quarantine.remember(m_now, broken_attempt{open.request.id, open.request.fingerprint, open.target, open.incarnation, {}});
        const target_entry &entry = *m_targets.find(open.target);
        if (entry.silent && !open.provedAlive && entry.listed.state != listed_state::Leaving) {
            accuseBroken(open.target, entry.incarnation(), false);
        }
    }
    afterAttempt(open);
}

void request_machine::releaseIfDue(open_request &open)
{
    const bool awaitsVerdict = open.verdictBy && m_now < *open.verdictBy;
    const bool awaitsSpread = open.spreadBy && m_now < *open.spreadBy;
    if (open.phase != request_phase::Held || awaitsVerdict || awaitsSpread) {
        return;
    }
    const bool mayStillRun = open.verdictBy.has_value(); // its target is not known to be dead
    if (mayStillRun && resumeBroken(open)) {
        return;
    }
    if (open.keepsPlace) {
        giveUpTarget(open);
    }
    if (mayStillRun && open.request.repeatable) {
        cancel(open);
    }
    if (mayStillRun && !open.provedAlive && !open.accused) {
        ++open.unjudged;
        m_quarantine.markUnjudged(open.request.id, open.target, open.incarnation);
    }
    open.verdictBy.reset();
    open.spreadBy.reset();
    tryAgain(open);
}

/// Whether the targets that the request killed, and those at which it broke without a verdict, are as many as
/// quarantine it. Without this a request whose verdicts are late would go from one target to the next.
bool request_machine::mayHaveKilledTooMany(const open_request &open) const
{
    const std::size_t killed = m_quarantine.accusationsOf(open.request.fingerprint).size();
    return open.unjudged > 0 && killed + open.unjudged >= m_quarantine.deathsAllowed();
}

/// Starts the request again if that is safe, in time and within the budget; else ends it.
void request_machine::tryAgain(open_request &open)
{
    const incoming_request &request = open.request;
    if (const std::optional<instant> until = m_quarantine.until(m_now, request.fingerprint)) {
        failQuarantined(open, *until);
        return;
    }
    if (open.lastEnd == attempt_end::DeadlinePassed || request.deadline <= m_now) {
        failWith(open, error_kind::DeadlineExpired, "the deadline passed during an attempt", std::nullopt);
        return;
    }
    if (!open.mayRepeat() || open.callerGone || mayHaveKilledTooMany(open)) {
        failLastEnd(open);
        return;
    }
    if (!m_budgets[service_key(request.brand, request.service)].take(m_now, request.retryBudgetPercent)) {
        failWith(open, error_kind::RetryBudgetSpent, "the service's retry budget is spent", spentBudgetRetryAfter);
        return;
    }
    enqueue(open);
}

} // namespace fuchsialoom
