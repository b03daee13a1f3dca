/// \file
/// The events and actions of claim_machine, which makes keyed requests run at most once. place_claim,
/// settle_claim, void_claim and claim_decided are shared with the request path, see requests.h.
#pragma once

#include "fuchsialoom/core/records.h"
#include "fuchsialoom/core/requests.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace fuchsialoom
{

/// Durations are settings; what is stored are deadlines made from them.
struct claim_options
{
    vm_id vm;
    incarnation_number incarnation;
    std::uint32_t partitions = 16; ///< equal at every VM: with another number a key would have two streams
    milliseconds window{86400000}; ///< deduplication window of new claims
    /// Least time between the starts of two appends of one kind to one partition. With 16 partitions, 100 ms
    /// bounds the appends to 320 a second, whatever callers send; one after a pause goes at once.
    milliseconds gather{100};
    milliseconds skewMargin{2000}; ///< how far two VMs' wall clocks may differ before "unknown" is said early
    milliseconds ownerTimeout{300}; ///< then the entry VM appends and reads back itself
    milliseconds retryAfter{1000};
    milliseconds retryPause{500}; ///< after a failed append or read
    milliseconds refresh{5000}; ///< between reads of a followed stream that nobody waits for
    milliseconds appendPatience{250}; ///< an append unanswered for this long is looked for in the log
    milliseconds readPatience{1000}; ///< a read unanswered for this long has failed
    milliseconds readAgain{5}; ///< where a read did not yet show an append that was answered
    std::size_t openLimit = 4096; ///< claims under way and won, and outcomes and abandons not yet in the log
    std::size_t claimsAnAppend = 256;
    unsigned appendTries = 3; ///< of one claim whose answers are lost
};

/// Now, on both clocks of this VM.
struct claim_time
{
    instant now;
    wall_instant wall;
};

/// Tells a peer's calls apart; chosen by the shell.
using ask_number = number_id<struct ask_tag>;

template<>
struct name_table<claim_verdict>
{
    static constexpr auto entries = std::to_array<enum_name<claim_verdict>>({
        {claim_verdict::Won, "won"},
        {claim_verdict::InProgress, "in-progress"},
        {claim_verdict::Recorded, "recorded"},
        {claim_verdict::Unknown, "unknown"},
        {claim_verdict::KeyReused, "key-reused"},
        {claim_verdict::LogUnavailable, "log-unavailable"},
    });
};

/// What a partition's owner answers.
struct claim_reply
{
    claim_verdict verdict = claim_verdict::LogUnavailable;
    std::optional<key_outcome> recorded; ///< set when Recorded
    std::optional<milliseconds> retryAfter;
    std::optional<milliseconds> window; ///< the longest that the owner can promise; set by an owner alone

    friend bool operator==(const claim_reply &, const claim_reply &) = default;
};

/// Claims and what came of them are appended apart. At most one append of a kind is under way for a
/// partition, so that (partition, kind) names it.
enum class claim_append {
    Claims,
    Ends,
};

enum class claim_append_status {
    Appended,
    Refused, ///< nothing was appended, now or later
    Uncertain, ///< it may have been appended, or may be later
};

// Events, beside place_claim, settle_claim, void_claim and time_passed.

struct claim_append_answered
{
    std::uint32_t partition = 0;
    claim_append kind = claim_append::Claims;
    claim_append_status status = claim_append_status::Uncertain;
    log_offset offset; ///< set when Appended
};

/// Answers read_claims; at most one read is under way for a partition.
struct claim_records_read
{
    std::uint32_t partition = 0;
    bool available = false;
    log_offset first; ///< lowest offset still kept
    log_offset next; ///< offset that the next append gets
    std::vector<log_entry> entries; ///< consecutive
};

/// Answers ask_claim_owner; no reply means that the owner may or may not have appended the claim.
struct claim_owner_answered
{
    claim_id claim;
    std::optional<claim_reply> reply;
};

/// Answers send_claim_ends: whether the owner had all of them appended.
struct claim_ends_answered
{
    std::uint32_t partition = 0;
    bool appended = false;
};

/// Another VM takes us for its claim's partition owner.
struct peer_claim_arrived
{
    ask_number ask;
    key_claim claim;
    instant deadline;
};

struct peer_ends_arrived
{
    ask_number ask;
    key_outcomes ends; ///< all of one partition
};

struct claim_member
{
    vm_id vm;
    incarnation_number incarnation;
    bool reachable = true; ///< may own partitions

    friend auto operator<=>(const claim_member &, const claim_member &) = default;
};

/// The VMs known. Until the first of these events, partitions have no owners.
struct claim_members_changed
{
    std::vector<claim_member> known;
};

/// For claims placed from now on; earlier ones keep the window that they were told.
struct claim_window_changed
{
    milliseconds window;
};

/// Whether the log is known to answer. While it doesn't, claims are refused at once.
struct claim_log_changed
{
    bool available = true;
};

/// Asks for the claims whose outcome is unknown, in the partitions that this VM follows.
struct list_unknown_claims
{
    ask_number ask;
    std::string scope; ///< beginning of the keys to list; empty: all
    std::size_t most = 0; ///< to list; the rest is counted
};

using claim_event = std::variant<place_claim,
                                 settle_claim,
                                 void_claim,
                                 claim_append_answered,
                                 claim_records_read,
                                 claim_owner_answered,
                                 claim_ends_answered,
                                 peer_claim_arrived,
                                 peer_ends_arrived,
                                 claim_members_changed,
                                 claim_window_changed,
                                 claim_log_changed,
                                 list_unknown_claims,
                                 time_passed>;

// Actions, beside claim_decided and emit_event.

struct append_claims
{
    std::uint32_t partition = 0;
    claim_append kind = claim_append::Claims;
    record_body body;
};

/// Read what there is from \c from on, without waiting for more.
struct read_claims
{
    std::uint32_t partition = 0;
    log_offset from;
};

struct ask_claim_owner
{
    vm_id owner;
    key_claim claim;
    instant deadline;
};

struct send_claim_ends
{
    vm_id owner;
    std::uint32_t partition = 0;
    key_outcomes ends;
};

struct answer_claim_peer
{
    ask_number ask;
    claim_reply reply;
};

struct answer_ends_peer
{
    ask_number ask;
    bool appended = false;
};

/// A claim whose request may have run, and of which nobody will learn more.
struct unknown_claim
{
    idempotency_key key;
    request_id request;
    vm_id vm; ///< that had the request
    wall_instant placed;
    wall_instant deadline;
    wall_instant keptUntil; ///< it is listed until then

    friend bool operator==(const unknown_claim &, const unknown_claim &) = default;
};

/// Answers list_unknown_claims.
struct unknown_claims_listed
{
    ask_number ask;
    std::vector<unknown_claim> claims; ///< the earliest first
    std::size_t total = 0; ///< of the scope, listed or not
};

using claim_action = std::variant<append_claims,
                                  read_claims,
                                  ask_claim_owner,
                                  send_claim_ends,
                                  answer_claim_peer,
                                  answer_ends_peer,
                                  unknown_claims_listed,
                                  claim_decided,
                                  emit_event>;

} // namespace fuchsialoom
