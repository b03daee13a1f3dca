/// \file
/// The events and actions of the request path. A caller's worker thread posts events and carries out
/// the actions; every decision between them is request_machine's.
#pragma once

#include "fuchsialoom/core/records.h"
#include "fuchsialoom/core/targets.h"
#include "fuchsialoom/support/errors.h"
#include "fuchsialoom/support/ids.h"
#include "fuchsialoom/support/name_table.h"
#include "fuchsialoom/support/time.h"
#include "fuchsialoom/support/timeline_event.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace fuchsialoom
{

/// A caller's request after its input was checked and the settings that concern it were looked up.
struct incoming_request
{
    request_id id;
    target_kind kind = target_kind::Engine;
    brand_id brand;
    service_id service;
    model_id model; ///< empty for plain services
    version_id version;
    adapter_id adapter; ///< empty when none is used
    version_id adapterVersion;
    instant deadline;
    int priority = 0; ///< 0 goes first
    bool repeatable = false;
    std::optional<idempotency_key> key;
    content_hash body;
    content_hash fingerprint; ///< service and body; what an accusation names
    std::vector<content_hash> prefixBlocks; ///< hashes of ever longer prompt prefixes
    std::uint32_t brandShare = 100;
    std::uint32_t queueLimit = 200;
    std::uint32_t retryBudgetPercent = 10;

    /// Whether it runs under a claim: only then is its key remembered.
    bool isClaimed() const
    {
        return key && !repeatable;
    }

    friend bool operator==(const incoming_request &, const incoming_request &) = default;
};

/// How an attempt ended, as far as the VM can tell.
enum class attempt_end {
#define FUCHSIALOOM_ATTEMPT_END(Enumerator, Name) Enumerator,
#include "fuchsialoom/core/attempt_ends.def"
};

template<>
struct name_table<attempt_end>
{
    static constexpr auto entries = std::to_array<enum_name<attempt_end>>({
#define FUCHSIALOOM_ATTEMPT_END(Enumerator, Name) {attempt_end::Enumerator, Name},
#include "fuchsialoom/core/attempt_ends.def"
    });
};

// Events.

struct request_arrived
{
    incoming_request request;
};

struct attempt_ended
{
    request_id request;
    attempt_number attempt;
    attempt_end end = attempt_end::Completed;
    std::uint64_t deliveredTokens = 0; ///< what the caller already has
    std::uint32_t status = 0; ///< of the target's answer, when Completed
    std::string contentType;
    std::optional<std::string> answer; ///< kept only for keyed requests and when small
    /// The target process that answered the worker after the connection broke; none where no one did.
    incarnation_number foundAlive{};
};

/// The first token of an attempt reached the VM.
struct first_token_seen
{
    request_id request;
    attempt_number attempt;
};

struct caller_gone
{
    request_id request;
};

enum class claim_verdict {
    Won, ///< ours: dispatch, once
    InProgress, ///< another's, still running
    Recorded, ///< its outcome is known: replay it
    Unknown, ///< its holder is gone without an outcome: never run again
    KeyReused, ///< same key, different body
    LogUnavailable, ///< not claimed: not run by us, now or later; a claim that may yet land is being voided
};

struct claim_decided
{
    request_id request;
    claim_verdict verdict = claim_verdict::Won;
    std::optional<key_outcome> recorded; ///< set when Recorded
    std::optional<milliseconds> retryAfter; ///< set when InProgress or LogUnavailable
    claim_number number{}; ///< of the place_claim that this decides; one with another number is not for the request
};

struct target_listed
{
    listed_target target;
};

/// The target left the platform's list.
struct target_lost
{
    target_id target;
};

/// The target stopped answering its watchers, and may answer again under the same incarnation; target_listed
/// follows then.
struct target_silent
{
    target_id target;
};

/// A worker whose connection broke found that nothing listens at the target any more: that process is
/// dead. The target stays listed, for it may come back under a new incarnation.
struct target_found_dead
{
    target_id target;
    incarnation_number incarnation; ///< of the attempt that broke
};

struct load_reported
{
    load_report report;
};

struct cache_reported
{
    cache_batch batch;
};

/// Another VM saw \c target die with these requests on it.
struct accusation
{
    target_id target;
    incarnation_number incarnation;
    std::vector<content_hash> fingerprints;
    bool leaving = false; ///< the target was to leave, so that its end may have been in order

    friend bool operator==(const accusation &, const accusation &) = default;
};

/// Our accusation is known to every peer that can be reached.
struct accusation_spread
{
    request_id request;
};

/// Answers an ask_lease. One that comes late, or never, counts as not granted.
struct lease_answered
{
    request_id request;
    target_id target;
    bool granted = false;
};

struct quarantine_learned
{
    content_hash fingerprint;
    instant until;
};

/// From now on every new request is refused as Draining.
struct drain_started
{
};

/// The settings that hold for every request.
struct request_policy
{
    milliseconds quarantine{600000}; ///< how long a request that killed two targets is refused
    milliseconds spreadWait{250}; ///< longest wait for accusation_spread
    milliseconds verdictWait{500}; ///< longest wait, after a connection broke, to learn whether its target died

    friend bool operator==(const request_policy &, const request_policy &) = default;
};

struct policy_changed
{
    request_policy policy;
};

/// Deadlines may have passed.
struct time_passed
{
};

using request_event = std::variant<request_arrived,
                                   attempt_ended,
                                   first_token_seen,
                                   caller_gone,
                                   claim_decided,
                                   target_listed,
                                   target_lost,
                                   target_silent,
                                   target_found_dead,
                                   load_reported,
                                   cache_reported,
                                   accusation,
                                   accusation_spread,
                                   lease_answered,
                                   quarantine_learned,
                                   drain_started,
                                   policy_changed,
                                   time_passed>;

// Actions.

/// Start (or take up again) the request at a target. Emitted only while the request's worker has no
/// attempt in progress. A resumed stream keeps the attempt number under which it started, since the
/// engine's frames carry that number and the worker drops frames of any other.
struct start_attempt
{
    request_id request;
    attempt_number attempt;
    target_id target;
    endpoint address;
    incarnation_number incarnation;
    bool resume = false; ///< the stream runs there already: attach at what the caller has

    friend bool operator==(const start_attempt &, const start_attempt &) = default;
};

/// The request's final answer is this failure. Sent at once.
struct answer_failure
{
    request_id request;
    failure what;

    friend bool operator==(const answer_failure &, const answer_failure &) = default;
};

/// The request's final answer is the one that an earlier run recorded.
struct answer_recorded
{
    request_id request;
    key_outcome recorded;

    friend bool operator==(const answer_recorded &, const answer_recorded &) = default;
};

/// The attempt's answer was delivered whole; the request is over.
struct request_done
{
    request_id request;

    friend bool operator==(const request_done &, const request_done &) = default;
};

struct cancel_attempt
{
    request_id request;
    attempt_number attempt;
    target_id target;
    endpoint address;

    friend bool operator==(const cancel_attempt &, const cancel_attempt &) = default;
};

struct place_claim
{
    request_id request;
    idempotency_key key;
    content_hash body;
    instant deadline;
    claim_number number{}; ///< not none, and never used before by this machine

    friend bool operator==(const place_claim &, const place_claim &) = default;
};

/// Record what came of a claim that was won. A result of NotRun, proved by the target, frees the key.
struct settle_claim
{
    key_outcome result;
    claim_number number{}; ///< of the place_claim that won

    friend bool operator==(const settle_claim &, const settle_claim &) = default;
};

/// Void a claim that was placed, won or not, and not dispatched. Posted before the request is forgotten.
struct void_claim
{
    key_abandon abandon;
    claim_number number{}; ///< of the place_claim that is given up

    friend bool operator==(const void_claim &, const void_claim &) = default;
};

/// Tell the peers, then post accusation_spread for \c request.
struct spread_accusation
{
    request_id request;
    accusation what;
    /// Of the same fingerprint, told before; a peer may have been out of reach then.
    std::vector<accusation> earlier;

    friend bool operator==(const spread_accusation &, const spread_accusation &) = default;
};

/// Ask the target's keeper for its lease until then, and post lease_answered. No attempt of an accused
/// request starts without it.
struct ask_lease
{
    request_id request;
    target_id target;
    instant until;

    friend bool operator==(const ask_lease &, const ask_lease &) = default;
};

/// Tell the keeper that asked for the lease that it ends then; at once where that is not later than now.
struct end_lease
{
    request_id request;
    target_id target;
    instant until;

    friend bool operator==(const end_lease &, const end_lease &) = default;
};

struct publish_quarantine
{
    content_hash fingerprint;
    instant until;

    friend bool operator==(const publish_quarantine &, const publish_quarantine &) = default;
};

struct emit_event
{
    timeline_event event;

    friend bool operator==(const emit_event &, const emit_event &) = default;
};

using request_action = std::variant<start_attempt,
                                    answer_failure,
                                    answer_recorded,
                                    request_done,
                                    cancel_attempt,
                                    place_claim,
                                    settle_claim,
                                    void_claim,
                                    spread_accusation,
                                    ask_lease,
                                    end_lease,
                                    publish_quarantine,
                                    emit_event>;

} // namespace fuchsialoom
