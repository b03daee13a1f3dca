/// \file
/// One request whose target sends nothing for a while: a second attempt is made beside the first, and the first that has
/// something for the caller goes on alone.
#include "exchange.h"

#include <cassert>
#include <utility>

namespace fuchsialoom
{

/// Interval at which a silent attempt looks for a successor.
static constexpr milliseconds takeoverInterval{50};

void exchange::onHeard(attempt &one)
{
    if (!one.peer) {
        m_gateway.noteHeard(one.target);
    }
    const instant now = loopNow(); // not earlier than what the pool has: noteSilent() compares both
    const instant silentSince = std::exchange(one.lastByteAt, now);
    if (!one.isSilent) {
        return;
    }
    one.isSilent = false;
    if (!one.usesSlot) {
        one.usesSlot = true;
        m_gateway.m_pool.begin(one.target, one.pendingPromptTokens);
        m_gateway.notifyInFlightChanged();
    }
    m_gateway.m_silentStreams.erase(m_serial);
    m_gateway.m_log.writeRequest(now,
                                 log_line("target-heard", m_facts.id)
                                     .with("target", one.target)
                                     .with("silent-ms", std::chrono::duration_cast<milliseconds>(now - silentSince))
                                     .with("successor", m_successor ? m_successor->target.text() : "none"));
}

void exchange::freeSlot(attempt &one)
{
    if (std::exchange(one.usesSlot, false)) {
        m_gateway.m_pool.end(one.target, one.pendingPromptTokens);
    }
}

void exchange::onSilence(instant now)
{
    attempt &silent = *m_attempt;
    const bool mayBeLost = now >= silent.lastByteAt + longestPause;
    if (!mayBeLost) {
        m_gateway.m_pool.noteSilent(now, silent.target, silent.lastByteAt);
    }
    if (!silent.isSilent) {
        silent.isSilent = true;
        m_takeoverVerdict = takeover_verdict::Possible;
        if (m_streamStarted) {
            m_gateway.m_silentStreams.emplace(m_serial, weak_from_this());
        }
    }
    // A connection that was lost without a reset would keep the slot until the caller's deadline.
    if (silent.usesSlot && mayBeLost) {
        freeSlot(silent);
        m_gateway.notifyInFlightChanged();
        m_gateway.dispatchQueued();
    }
    m_nextTakeoverAt = now + takeoverInterval;
    tryTakeover(now);
}

void exchange::logSilence(instant now) const
{
    m_gateway.m_log.writeRequest(now,
                                 log_line("target-silent", m_facts.id)
                                     .with("target", m_attempt->target)
                                     .with("silent-ms", std::chrono::duration_cast<milliseconds>(now - m_attempt->lastByteAt))
                                     .with("head", m_attempt->headReceived ? "yes" : "no")
                                     .with("events", m_attempt->scanner.count())
                                     .with("unfinished-bytes", m_attempt->scanner.rest().size())
                                     .with("takeover", m_takeoverVerdict));
}

bool exchange::isSuspectedNow(instant now) const
{
    const crash_evidence &crashes = m_gateway.m_crashes;
    return m_trial || (crashes.hasSuspects() && crashes.heldUntil(subjects()))
        || (crashes.hasQuarantines() && crashes.quarantineOf(now, subjects()));
}

takeover_verdict exchange::judgeTakeoverNow(instant now) const
{
    takeover_facts facts;
    facts.budgetAllows = m_gateway.retryBudgetFor(m_service).allows(now);
    facts.isSuspected = isSuspectedNow(now);
    facts.endsInTime =
        m_streamStarted ? now < m_deadlines.callerDeadline : now < m_deadlines.queueDeadline && m_gateway.endsBeforeStop(now, *this);
    attempt_history history = m_history;
    history.targetsTried += m_successor ? 1 : 0;
    return judgeTakeover(history, facts);
}

const pool_target *exchange::chooseSuccessor(instant now)
{
    const bool mayBeLost = now >= m_attempt->lastByteAt + longestPause;
    std::set<target_id> present{m_attempt->target};
    if (m_successor) {
        present.insert(m_successor->target);
    }
    target_query wanted = query();
    if (!wanted.tried && !mayBeLost) {
        wanted.tried = &present;
    }
    const pool_target *found = m_gateway.m_pool.choose(now, wanted, m_gateway.m_random()).target;
    return found && (mayBeLost || !found->isAvoided(now)) ? found : nullptr;
}

takeover_verdict exchange::tryTakeover(instant now)
{
    if (m_done || !m_attempt || !m_attempt->isSilent
        || (m_successor && now < stalledFrom(m_route, m_streamStarted, m_successor->lastByteAt))) {
        return takeover_verdict::NotNeeded;
    }
    takeover_verdict verdict = judgeTakeoverNow(now);
    const bool isPossible = verdict == takeover_verdict::Possible;
    const std::optional<serving_peer> peer = isPossible && leavesToPeer() ? m_gateway.choosePeer() : std::nullopt;
    const pool_target *target = isPossible && !leavesToPeer() ? chooseSuccessor(now) : nullptr;
    if (isPossible && !target && !peer) {
        verdict = takeover_verdict::NoTarget;
    }
    if (verdict != std::exchange(m_takeoverVerdict, verdict) || target || peer) {
        logSilence(now);
    }
    if (!target && !peer) {
        return verdict;
    }
    if (m_successor) {
        // Both are silent, and there is a third: the one that has been silent for longest is given up.
        promoteSuccessor();
        m_attempt->isSilent = true;
    }
    m_gateway.retryBudgetFor(m_service).countRetry(now);
    m_gateway.m_counters.retries += 1;
    m_successor = newAttempt();
    m_successor->isCountedRetry = true;
    if (peer) {
        launchAtPeer(*m_successor, *peer);
    } else {
        launch(*m_successor, *target);
    }
    m_gateway.notifyInFlightChanged();
    return verdict;
}

void exchange::settleOn(const attempt &one)
{
    if (!m_successor) {
        return;
    }
    if (&one == &*m_successor) {
        promoteSuccessor();
    } else {
        dropSuccessor();
    }
    m_gateway.dispatchQueued();
}

void exchange::promoteSuccessor()
{
    attempt silent = std::exchange(*m_attempt, std::move(*m_successor));
    m_successor.reset();
    m_gateway.m_silentStreams.erase(m_serial);
    m_gateway.m_log.writeRequest(loopNow(),
                                 log_line("attempt-taken-over", m_facts.id)
                                     .with("target", silent.target)
                                     .with("by", m_attempt->target)
                                     .with("heard", m_attempt->headReceived ? "yes" : "no"));
    onUnanswered(silent);
    countAttemptEnd(silent, attempt_outcome::Silent);
    if (!silent.peer) {
        m_givenUpSilent = silent.target;
        m_history.gaveUpSilent = true;
    }
    silent.link->close();
    release(silent);
}

void exchange::dropSuccessor()
{
    attempt dropped = std::move(*m_successor);
    m_successor.reset();
    countAttemptEnd(dropped, attempt_outcome::Silent);
    dropped.link->close();
    release(dropped);
}

void exchange::endBesideOther(attempt &one)
{
    assert(m_attempt && m_successor);
    const bool successorEnded = &one == &*m_successor;
    attempt ended = successorEnded ? std::move(*m_successor) : std::exchange(*m_attempt, std::move(*m_successor));
    m_successor.reset();
    if (!successorEnded) {
        m_gateway.m_silentStreams.erase(m_serial);
    }
    release(ended);
    armTimer();
    m_gateway.dispatchQueued();
}

instant exchange::handoverDeadline() const
{
    return m_successor && m_isEngine ? m_successor->sentAt + engineHandoverTime : farFuture;
}

void exchange::onHandoverDue()
{
    if (m_attempt->isSilent) {
        promoteSuccessor();
    } else {
        dropSuccessor();
    }
    m_gateway.dispatchQueued();
}

} // namespace fuchsialoom
