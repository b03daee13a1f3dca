/// \file
/// The records that the system keeps in the platform's log. The core works on these; their encoding
/// is the wire package's business. Streams: see streams.h.
#pragma once

#include "fuchsialoom/settings/change.h"
#include "fuchsialoom/support/errors.h"
#include "fuchsialoom/support/ids.h"
#include "fuchsialoom/support/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace fuchsialoom
{

/// The settings in force after every record up to `through`, and the latest changes by which repeats
/// are known.
struct settings_snapshot
{
    log_offset through; ///< below the snapshot's own offset
    std::vector<setting_entry> entries;
    std::vector<folded_change> recent; ///< oldest first
    wall_instant writtenAt; ///< by its author's clock; tells when the next one is due

    friend bool operator==(const settings_snapshot &, const settings_snapshot &) = default;
};

/// Asks for the leadership of a domain. Valid only if `supersedes` is the claim in force at its offset;
/// the offset of a valid claim is the leader's fencing number. The lease's length is a setting.
struct leadership_claim
{
    domain_id domain;
    vm_id holder;
    incarnation_number incarnation;
    log_offset supersedes; ///< none for the first claim of a domain

    friend bool operator==(const leadership_claim &, const leadership_claim &) = default;
};

/// Extends the lease of the claim at `claim`, or gives it up.
struct leadership_renewal
{
    domain_id domain;
    log_offset claim;
    bool release = false;

    friend bool operator==(const leadership_renewal &, const leadership_renewal &) = default;
};

enum class order_operation {
#define FUCHSIALOOM_ORDER_OPERATION(Enumerator, Name) Enumerator,
#include "fuchsialoom/core/order_operations.def"
};

/// An order to a target as it is written before it is sent. Valid only if its author led the domain
/// at its offset, with the claim `fence`.
struct order_intent
{
    order_id id;
    domain_id domain;
    log_offset fence;
    target_id target;
    incarnation_number targetIncarnation;
    order_operation operation = order_operation::LoadModel;
    model_id model;
    version_id version;
    adapter_id adapter; ///< empty unless the order is about an adapter
    std::uint64_t bytes = 0;
    std::optional<wall_instant> expires; ///< only where the target honours an order's expiry

    friend bool operator==(const order_intent &, const order_intent &) = default;
};

enum class order_resolution {
#define FUCHSIALOOM_ORDER_RESOLUTION(Enumerator, Name) Enumerator,
#include "fuchsialoom/core/order_resolutions.def"
};

/// What became of the intent at `intent`.
struct order_resolved
{
    domain_id domain;
    log_offset fence;
    log_offset intent;
    order_resolution resolution = order_resolution::Done;

    friend bool operator==(const order_resolved &, const order_resolved &) = default;
};

/// Asks to run the request behind an idempotency key. A claim wins if, at its own position, no claim
/// for the key is in force; see claim_table.h.
struct key_claim
{
    idempotency_key key;
    content_hash body;
    request_id request;
    vm_id vm;
    incarnation_number incarnation;
    wall_instant deadline;
    claim_id id{};
    wall_instant placed{}; ///< on the placing VM's clock
    wall_instant keptUntil{}; ///< end of the deduplication window; part of the record, so that every reader agrees on it

    friend bool operator==(const key_claim &, const key_claim &) = default;
};

/// Claims gathered into one append. A claim's position is (offset, index).
struct key_claims
{
    std::vector<key_claim> claims;

    friend bool operator==(const key_claims &, const key_claims &) = default;
};

/// What came of the claim `claim` that `request` made for `key`, with the answer when it is small.
struct key_outcome
{
    idempotency_key key;
    request_id request;
    outcome known = outcome::Ran;
    std::uint32_t status = 0;
    std::string contentType;
    std::optional<std::string> answer;
    claim_id claim{}; ///< filled in by claim_machine

    friend bool operator==(const key_outcome &, const key_outcome &) = default;
};

/// Voids the claim `claim` that `request` made for `key`, wherever that claim stands in the log: the
/// request was given up before dispatch and will never be dispatched.
struct key_abandon
{
    idempotency_key key;
    request_id request;
    claim_id claim{}; ///< filled in by claim_machine

    friend bool operator==(const key_abandon &, const key_abandon &) = default;
};

struct key_outcomes
{
    std::vector<key_outcome> outcomes;
    std::vector<key_abandon> abandons;

    friend bool operator==(const key_outcomes &, const key_outcomes &) = default;
};

/// Published by a domain's leader when it changes; every domain computes homes from these.
struct domain_capacity
{
    domain_id domain;
    log_offset fence;
    std::uint64_t acceleratorBytes = 0;
    std::uint32_t targets = 0;
    std::uint32_t accelerators = 0;

    friend bool operator==(const domain_capacity &, const domain_capacity &) = default;
};

/// Lends a part of the weight store's rate from one domain to another until a wall-clock instant.
struct weight_share_loan
{
    domain_id from;
    domain_id to;
    std::uint32_t loadsPerMinute = 0;
    std::uint32_t slots = 0;
    wall_instant until;

    friend bool operator==(const weight_share_loan &, const weight_share_loan &) = default;
};

/// A request that killed two targets; refused at every VM until `until`.
struct quarantine_notice
{
    content_hash fingerprint;
    wall_instant until;

    friend bool operator==(const quarantine_notice &, const quarantine_notice &) = default;
};

using record_body = std::variant<settings_change,
                                 settings_snapshot,
                                 leadership_claim,
                                 leadership_renewal,
                                 order_intent,
                                 order_resolved,
                                 key_claims,
                                 key_outcomes,
                                 domain_capacity,
                                 weight_share_loan,
                                 quarantine_notice>;

/// A record with what every record carries.
struct log_record
{
    record_id id; ///< unique over all VMs and incarnations; folded once
    vm_id author;
    incarnation_number incarnation;
    record_body body;

    friend bool operator==(const log_record &, const log_record &) = default;
};

/// A record at its place in a stream. `record` is nothing where the bytes were unknown or corrupt:
/// such a record is counted and passed over.
struct log_entry
{
    log_offset offset;
    std::optional<log_record> record;

    friend bool operator==(const log_entry &, const log_entry &) = default;
};

template<>
struct name_table<order_operation>
{
    static constexpr auto entries = std::to_array<enum_name<order_operation>>({
#define FUCHSIALOOM_ORDER_OPERATION(Enumerator, Name) {order_operation::Enumerator, Name},
#include "fuchsialoom/core/order_operations.def"
    });
};

template<>
struct name_table<order_resolution>
{
    static constexpr auto entries = std::to_array<enum_name<order_resolution>>({
#define FUCHSIALOOM_ORDER_RESOLUTION(Enumerator, Name) {order_resolution::Enumerator, Name},
#include "fuchsialoom/core/order_resolutions.def"
    });
};

} // namespace fuchsialoom
