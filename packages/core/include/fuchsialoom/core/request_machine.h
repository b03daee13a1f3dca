/// \file
/// The request path's decisions: admission, routing, retry, at-most-once, quarantine. A plain state
/// machine without clock, thread, socket or random device.
#pragma once

#include "fuchsialoom/core/admission_queue.h"
#include "fuchsialoom/core/cache_index.h"
#include "fuchsialoom/core/open_request.h"
#include "fuchsialoom/core/quarantine.h"
#include "fuchsialoom/core/requests.h"
#include "fuchsialoom/core/retry_budget.h"
#include "fuchsialoom/core/target_table.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace fuchsialoom
{

class request_machine
{
public:
    explicit request_machine(domain_id ownDomain);

    /// Takes in one event at \p now, which never goes back. Every request that arrived gets exactly one
    /// final answer: answer_failure, answer_recorded or request_done, unless its caller goes first.
    std::vector<request_action> step(instant now, const request_event &event);

    /// Requests whose final answer is not given, or whose claim is not settled.
    std::size_t openRequests() const
    {
        return m_open.size();
    }

    std::size_t queuedRequests() const
    {
        return m_queue.size();
    }

private:
    using service_key = std::pair<brand_id, service_id>;

    struct given_up_claim
    {
        idempotency_key key;
        claim_number number;
    };

    // Events: request_machine.cpp, claim_decided in request_claims.cpp, attempt_ended in request_attempts.cpp.
    void handle(const request_arrived &event);
    void handle(const attempt_ended &event);
    void handle(const first_token_seen &event);
    void handle(const caller_gone &event);
    void handle(const claim_decided &event);
    void handle(const target_listed &event);
    void handle(const target_lost &event);
    void handle(const target_silent &event);
    void handle(const target_found_dead &event);
    void handle(const load_reported &event);
    void handle(const cache_reported &event);
    void handle(const accusation &event);
    void handle(const accusation_spread &event);
    void handle(const lease_answered &event);
    void handle(const quarantine_learned &event);
    void handle(const drain_started &event);
    void handle(const policy_changed &event);
    void handle(const time_passed &event);

    // Admission: request_machine.cpp.
    std::optional<failure> refusalOf(const incoming_request &request) const;
    void refuseArrival(const incoming_request &request, failure what);
    void sweep();
    void sweepDeadline(open_request &open);
    void refuseUnreachable(const std::vector<request_id> &requests);

    // Dispatch, ends of attempts, retries: request_attempts.cpp.
    lane_key laneOf(const open_request &open) const;
    void enqueue(open_request &open);
    void enforceLimit(const incoming_request &request);
    void pump();
    void dispatch(open_request &open, const route &chosen);
    void leaveTarget(open_request &open, attempt_end end);
    void cancel(const open_request &open);
    bool isSameProcess(const open_request &open) const;
    bool mayHaveKilledTooMany(const open_request &open) const;
    bool canFollow(const open_request &open) const;
    bool canResume(const open_request &open) const;
    bool isFollowedOn(const open_request &open, attempt_end end);
    bool couldMove(const open_request &open);
    bool resumeBroken(open_request &open);
    void resume(open_request &open);
    void giveUpTarget(open_request &open);
    void endAttempt(open_request &open, attempt_end end);
    void afterAttempt(open_request &open);
    void holdForVerdict(open_request &open);
    void releaseIfDue(open_request &open);
    void tryAgain(open_request &open);

    // Leases that keep accused requests of several VMs apart: request_leases.cpp.
    void askLease(open_request &open, const target_id &target);
    void sweepLease(open_request &open);
    bool startUnderLease(open_request &open, const target_id &target);
    void endLease(const request_id &request, const target_id &target, instant until);

    // The end of a request, and its claim: request_claims.cpp.
    void placeClaim(open_request &open);
    void giveUpClaim(open_request &open);
    void fail(const request_id &id, failure what);
    void failWith(open_request &open, error_kind kind, const std::string &detail, std::optional<milliseconds> retryAfter);
    void failLastEnd(open_request &open);
    void complete(open_request &open, const attempt_ended &event);
    void admitClaimed(open_request &open);
    void answerRecorded(open_request &open, const claim_decided &event);

    // Dead targets and accused requests: request_accusations.cpp.
    void targetDied(const target_id &target, incarnation_number incarnation, bool leaving);
    void accuseBroken(const target_id &target, incarnation_number incarnation, bool leaving);
    void holdForSpread(const broken_attempt &broken);
    void targetAlive(const load_report &report);
    void accuse(const request_id &id, const accusation &what);
    void count(const accusation &what);
    void quarantineStarted(content_hash fingerprint, instant until);
    void failQuarantined(open_request &open, instant until);
    void accusedChanged(content_hash fingerprint);
    void recountAccused(const target_id &target);

    void emit(timeline_event event);
    template<typename Action>
    void act(Action action)
    {
        m_actions.push_back(std::move(action));
    }

    instant m_now{}; ///< of the step in progress
    instant m_sweepAt{}; ///< when deadlines are looked at next
    request_policy m_policy;
    target_table m_targets;
    cache_index m_cache;
    admission_queue m_queue; ///< exactly the open requests in phase Queued
    quarantine m_quarantine;
    std::map<service_key, retry_budget> m_budgets;
    std::map<request_id, open_request> m_open;
    /// Claims given up before they were decided. While one is here, its request id can't be opened again,
    /// so that a late Won is never taken for the new request's.
    std::map<request_id, given_up_claim> m_givenUpClaims;
    claim_number m_lastClaim; ///< grows by one with each claim placed
    bool m_draining = false;
    std::vector<request_action> m_actions; ///< of the step in progress; empty between steps
};

} // namespace fuchsialoom
