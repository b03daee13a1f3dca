/// \file
/// The request path's decisions: dead targets, accused and quarantined requests.
#include "fuchsialoom/core/request_machine.h"

#include <algorithm>

namespace fuchsialoom
{

/// Accuses every request that was on the dead process. Attempts in progress go on until their workers
/// report the end: the news may be wrong, and then the stream still runs. Each of those workers may find the
/// process dead, so an attempt is accused once.
void request_machine::targetDied(const target_id &target, incarnation_number incarnation, bool leaving)
{
    for (auto &[id, open] : m_open) {
        const bool sameProcess = open.target == target && (open.incarnation == incarnation || open.incarnation.isNone());
        if (sameProcess && open.phase == request_phase::Running && !open.accused) {
            open.accused = true;
            open.spreadBy = m_now + m_policy.spreadWait;
            accuse(id, accusation{target, incarnation, {open.request.fingerprint}, leaving});
        }
    }
    accuseBroken(target, incarnation, leaving);
}

/// Accuses the requests whose connections to the process broke before it was known to be dead.
void request_machine::accuseBroken(const target_id &target, incarnation_number incarnation, bool leaving)
{
    for (const broken_attempt &broken : m_quarantine.takeBroken(target, incarnation)) {
        holdForSpread(broken);
        accuse(broken.request, accusation{target, incarnation, {broken.fingerprint}, leaving});
    }
}

/// An attempt of the request broke before its target was known to be dead. Whatever comes next for the
/// request waits for the peers to be told, also when it was already given another try.
void request_machine::holdForSpread(const broken_attempt &broken)
{
    const auto found = m_open.find(broken.request);
    if (found == m_open.end()) {
        return;
    }
    open_request &open = found->second;
    const bool isLatest = open.verdictBy && open.target == broken.target && open.incarnation == broken.incarnation;
    if (isLatest) {
        open.verdictBy.reset();
    } else if (broken.unjudged) {
        --open.unjudged; // the latest attempt, at another target, still waits for its own verdict
    }
    open.spreadBy = m_now + m_policy.spreadWait;
    if (open.phase == request_phase::Queued) {
        m_queue.remove(broken.request);
        open.phase = request_phase::Held;
    }
}

/// A report taken after a connection broke shows that the process lives: only the connection died.
void request_machine::targetAlive(const load_report &report)
{
    for (auto next = m_open.begin(); next != m_open.end();) {
        open_request &open = next++->second; // may be closed below
        const bool waits = open.phase == request_phase::Held && open.verdictBy && open.target == report.target;
        if (waits && report.takenAt > open.brokeAt) {
            open.provedAlive = open.isAt(report.incarnation);
            open.verdictBy = m_now;
            releaseIfDue(open);
        }
    }
}

void request_machine::accuse(const request_id &id, const accusation &what)
{
    emit(timeline_event(event_kind::RequestAccused, id.text())
             .with(event_field::Target, what.target)
             .with(event_field::Fingerprint, what.fingerprints.front()));
    act(spread_accusation{id, what, m_quarantine.accusationsOf(what.fingerprints.front())});
    count(what);
}

/// Counts an accusation, ours or a peer's.
void request_machine::count(const accusation &what)
{
    for (const content_hash fingerprint : what.fingerprints) {
        const std::optional<instant> until = m_quarantine.accuse(m_now, fingerprint, what.target, what.incarnation, what.leaving);
        if (until) {
            act(publish_quarantine{fingerprint, *until});
            quarantineStarted(fingerprint, *until);
        }
        accusedChanged(fingerprint);
    }
}

/// Refuses what waits with this fingerprint. What runs or is held is left to the end of its attempt.
void request_machine::quarantineStarted(content_hash fingerprint, instant until)
{
    emit(timeline_event(event_kind::RequestQuarantined, std::to_string(fingerprint.value()))
             .with(event_field::Fingerprint, fingerprint)
             .with(event_field::RetryAfterMs, std::chrono::ceil<milliseconds>(until - m_now).count()));
    for (auto next = m_open.begin(); next != m_open.end();) {
        open_request &open = next++->second; // may be closed below
        const bool waits = open.phase == request_phase::Queued || open.phase == request_phase::Claiming;
        if (waits && open.request.fingerprint == fingerprint) {
            failQuarantined(open, until);
        }
    }
}

void request_machine::failQuarantined(open_request &open, instant until)
{
    failWith(open, error_kind::Quarantined, "like one that killed targets", std::chrono::ceil<milliseconds>(until - m_now));
}

/// The fingerprint became accused, or no longer is: its queued requests change lanes.
void request_machine::accusedChanged(content_hash fingerprint)
{
    for (auto &[id, open] : m_open) {
        if (open.request.fingerprint != fingerprint) {
            continue;
        }
        if (open.phase == request_phase::Queued) {
            m_queue.remove(id);
            enqueue(open);
        } else if (open.phase == request_phase::Running || open.keepsPlace) {
            recountAccused(open.target);
        }
    }
}

void request_machine::recountAccused(const target_id &target)
{
    const target_entry *entry = m_targets.find(target);
    if (entry == nullptr) {
        return;
    }
    const auto count = std::count_if(entry->inFlight.begin(), entry->inFlight.end(), [&](const sent_attempt &one) {
        return m_quarantine.isAccused(one.fingerprint);
    });
    m_targets.setAccusedInFlight(target, static_cast<std::uint32_t>(count));
}

void request_machine::handle(const accusation &event)
{
    count(event);
}

void request_machine::handle(const accusation_spread &event)
{
    const auto found = m_open.find(event.request);
    if (found != m_open.end()) {
        found->second.spreadBy.reset();
        releaseIfDue(found->second);
    }
}

void request_machine::handle(const quarantine_learned &event)
{
    if (m_quarantine.learn(m_now, event.fingerprint, event.until)) {
        quarantineStarted(event.fingerprint, event.until);
        accusedChanged(event.fingerprint);
    }
}

} // namespace fuchsialoom
