/// \file
/// What follows an attempt of a request that has ended: another one, a refusal or a failure.
#include "exchange.h"

#include "fuchsialoom/gateway/request_fingerprint.h"

#include <utility>

namespace fuchsialoom
{

/// For this long, a target that refused a connection gets only requests that no other target can take.
static constexpr milliseconds unreachableAvoidance{1000};
/// For this long, other targets are preferred to one that refused a request: it is full or is changing its models.
static constexpr milliseconds refusalAvoidance{250};
/// Short, since another target may have room.
static constexpr milliseconds retryAfterRefusal{50};
static constexpr int statusFailed = 502;
/// A request crashes its target as it begins to run. Once its stream has gone on for this long, it has begun.
static constexpr milliseconds beginningTime{100};

bool exchange::isBeginning(const attempt &one, instant now)
{
    return one.firstEventAt > now - beginningTime;
}

void exchange::onFailure(attempt &one, link_failure how, bool sent)
{
    if (sent) {
        onBrokenOff(one, nameOf(how), how == link_failure::Reset || how == link_failure::Closed);
        return;
    }
    logBreak(one, nameOf(how));
    if (one.peer) {
        m_gateway.m_peerChoice.avoid(loopNow(), *one.peer);
    } else if (how != link_failure::Withdrawn) {
        m_gateway.noteConnect(one.target, how == link_failure::Refused ? connect_result::Refused : connect_result::NoAnswer);
        if (how == link_failure::Refused) {
            m_gateway.m_pool.avoid(loopNow(), one.target, unreachableAvoidance);
        } else {
            m_gateway.m_pool.noteNoAnswer(loopNow(), one.target, unreachableAvoidance);
        }
    }
    handleAttemptEnd(one, attempt_outcome::NotSent);
}

void exchange::onBrokenOff(attempt &one, std::string_view how, bool connectionEnded)
{
    logBreak(one, how);
    if (connectionEnded) {
        onUnanswered(one);
    }
    handleAttemptEnd(one, attempt_outcome::Broken);
}

void exchange::onUnanswered(const attempt &one)
{
    if (isBeginning(one, loopNow())) {
        m_gateway.attemptBroke(*this, one.target);
    }
}

void exchange::logBreak(const attempt &one, std::string_view how)
{
    const instant now = loopNow();
    m_gateway.m_log.writeRequest(now,
                                 log_line("attempt-broke", m_facts.id)
                                     .with("target", one.peer ? one.peer->text() : one.target.text())
                                     .with("how", how)
                                     .with("answer-problem", one.link->answerProblem())
                                     .with("head", one.headReceived ? "yes" : "no")
                                     .with("framing", one.headReceived ? nameOf(one.head.framing) : "none")
                                     .with("events", one.scanner.count())
                                     .with("unfinished-bytes", one.scanner.rest().size())
                                     .with("fingerprint", textOf(fingerprint()))
                                     .with("parts", textOf(promptParts()))
                                     .with("part-ids", m_facts.partsText())
                                     .with("after-ms", std::chrono::duration_cast<milliseconds>(now - one.sentAt)));
}

void exchange::countAttemptEnd(const attempt &one, attempt_outcome outcome)
{
    const instant now = loopNow();
    const bool reachedNoTarget = outcome == attempt_outcome::Declined || outcome == attempt_outcome::NotSent;
    if (reachedNoTarget && one.isCountedRetry) {
        m_gateway.retryBudgetFor(m_service).returnRetry(one.sentAt);
    }
    if (outcome == attempt_outcome::Declined) {
        m_declines += 1;
        return;
    }
    if (outcome == attempt_outcome::NotSent) {
        m_history.connectFailures += 1;
        return;
    }
    m_history.targetsTried += m_returnsTo == one.target ? 0 : 1;
    if (outcome == attempt_outcome::NotRun) {
        m_gateway.m_pool.avoid(now, one.target, refusalAvoidance);
        return;
    }
    m_history.mayHaveRun = true;
    if (outcome != attempt_outcome::Silent) {
        m_gateway.m_pool.failed(now, one.target);
        m_gateway.m_pool.avoid(now, one.target, refusalAvoidance);
    }
}

void exchange::handleAttemptEnd(attempt &one, attempt_outcome outcome)
{
    const instant now = loopNow();
    countAttemptEnd(one, outcome);
    m_history.otherInProgress = m_successor.has_value();
    shared_retry_budget &budget = m_gateway.retryBudgetFor(m_service);
    const retry_step step = nextStep(outcome, m_history, budget.allows(now));
    m_gateway.m_log.writeRequest(now,
                                 log_line("attempt-ended", m_facts.id)
                                     .with("target", one.target)
                                     .with("outcome", outcome)
                                     .with("status", one.head.status)
                                     .with("sent-to", m_history.targetsTried)
                                     .with("attempts", m_history.attempts)
                                     .with("step", step));
    switch (step) {
    case retry_step::LeaveToOther:
        endBesideOther(one);
        return;
    case retry_step::ReturnToSilent:
        m_returnsTo = std::exchange(m_givenUpSilent, std::nullopt);
        m_history.gaveUpSilent = false;
        [[fallthrough]];
    case retry_step::TryElsewhere:
        if (outcome != attempt_outcome::NotSent && outcome != attempt_outcome::Declined) {
            budget.countRetry(now);
            m_gateway.m_counters.retries += 1;
        }
        endAttempts();
        m_gateway.enqueue(shared_from_this());
        return;
    case retry_step::Refuse:
        if (outcome == attempt_outcome::NotSent && !m_needsPeer && !m_passedOn) {
            m_needsPeer = true;
            m_history.connectFailures = 0;
            endAttempts();
            m_gateway.enqueue(shared_from_this());
            return;
        }
        refuse(refusal::TargetsRefused, retryAfterRefusal);
        return;
    case retry_step::PassOn:
        relayWholeAnswer();
        return;
    case retry_step::Fail:
        failRequest(statusFailed, nameOf(outcome));
        return;
    }
}

void exchange::release(attempt &one)
{
    freeMemory(one.body);
    one.held.set(0);
    if (one.peer) {
        m_gateway.m_peerChoice.end(*one.peer);
        m_gateway.m_peerLinks.release(target_id(one.peer->text()), one.link, maxIdlePerTarget);
        return;
    }
    freeSlot(one);
    m_gateway.notifyInFlightChanged();
    m_gateway.m_links.release(one.target, one.link, m_gateway.idleLimit(m_service));
}

void exchange::endAttempts()
{
    if (m_successor) {
        release(*m_successor);
        m_successor.reset();
    }
    if (m_attempt) {
        release(*m_attempt);
        m_eventScanner = std::move(m_attempt->scanner);
        m_attempt.reset();
    }
    m_gateway.m_silentStreams.erase(m_serial);
}

/// A link that is closed while it is busy makes its target drop the request.
void exchange::closeAttempts()
{
    for (const std::optional<attempt> *one : {&m_attempt, &m_successor}) {
        if (*one) {
            (*one)->link->close();
        }
    }
}

} // namespace fuchsialoom
