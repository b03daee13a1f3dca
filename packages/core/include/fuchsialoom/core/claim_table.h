/// \file
/// What one partition of the claims stream says of every key: a pure fold of its records, equal at
/// every reader. It knows no clock; the only time in it is what claims carry.
///
/// A claim comes in force if, at its own position, no other claim for its key is in force and no
/// abandon that stands before it names it. It stays in force until an abandon names it or its window
/// ends. A claim that is not in force on arrival never will be: its caller was told so.
#pragma once

#include "fuchsialoom/core/records.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace fuchsialoom
{

/// Where a key stands.
enum class claim_state {
    Held, ///< claimed; nothing more is known
    Settled, ///< the outcome is known
    Voided, ///< given up before dispatch: the key is free
};

/// What came of a claim: of its key_outcome, what the claim itself doesn't say.
struct held_result
{
    outcome known = outcome::Ran;
    std::uint32_t status = 0;
    std::string contentType;
    std::optional<std::string> answer;
};

/// The claim that is in force for a key.
struct held_claim
{
    content_hash body;
    request_id request;
    claim_id id;
    wall_instant deadline;
    wall_instant keptUntil; ///< by the fold's own clock
    std::unique_ptr<held_result> result; ///< set when Settled
    std::uint64_t sequence = 0; ///< of the claim in this table; tells an old expiry from the latest
    incarnation_number incarnation;
    std::uint32_t vm = 0; ///< index into the table's VM names
    claim_state state = claim_state::Held;
};

/// The time that a partition's claims agree on: the second latest place time over VMs, so that one VM
/// whose clock runs ahead can't end everybody's window early. Where only one VM ever claimed: its own.
class claim_clock
{
public:
    void observe(std::uint32_t vm, wall_instant placed);

    wall_instant now() const
    {
        return m_now;
    }

private:
    struct latest
    {
        std::uint32_t vm = 0;
        wall_instant placed;
    };

    std::optional<latest> m_first; ///< the VM with the latest place time
    std::optional<latest> m_second; ///< another VM; not later than m_first
    wall_instant m_now{}; ///< never decreases
};

class claim_table
{
public:
    /// Folds the record at \p entry. One at or below applied() has no effect.
    void apply(const log_entry &entry);

    /// The claim in force for \p key, or nothing where the key is free.
    const held_claim *find(const idempotency_key &key) const;

    const vm_id &holderOf(const held_claim &held) const
    {
        return m_vms[held.vm];
    }

    /// Every record up to here is folded. None: nothing was read yet.
    log_offset applied() const
    {
        return m_applied;
    }

    /// A claim in force of which no run is recorded.
    struct unsettled_claim
    {
        const idempotency_key *key; ///< never null; alive as long as the claim holds its key
        const held_claim *held; ///< the same
        wall_instant placed;
    };

    /// By sequence, so in the order of the log. Those whose window has ended may be among them.
    const std::map<std::uint64_t, unsettled_claim> &unsettled() const
    {
        return m_unsettled;
    }

    /// Whether \p held still holds its key.
    bool inForce(const held_claim &held) const;

    /// Keys in memory, free ones whose window has not ended among them.
    std::size_t size() const
    {
        return m_keys.size();
    }

    wall_instant clock() const
    {
        return m_clock.now();
    }

private:
    struct expiry
    {
        wall_instant when;
        idempotency_key const *key; ///< owned by m_keys; alive as long as the expiry with its latest sequence is queued
        held_claim *held;
        std::uint64_t sequence;
    };

    void apply(const key_claim &claim);
    void apply(const key_outcome &result);
    void apply(const key_abandon &abandon);
    void rememberVoided(const claim_id &id);
    void forgetExpired();
    std::uint32_t indexOf(const vm_id &vm);

    std::unordered_map<idempotency_key, held_claim> m_keys;
    std::map<std::uint64_t, unsettled_claim> m_unsettled; ///< exactly the keys' claims that are Held, or Settled as unknown
    std::deque<expiry> m_expiries; ///< every key's latest claim has exactly one entry; in order of arrival
    std::unordered_set<claim_id> m_voided; ///< claims that an abandon names, landed or not
    std::deque<claim_id> m_voidedOrder; ///< the same, oldest first; bounded
    std::vector<vm_id> m_vms; ///< only grows; as long as VMs that ever claimed here
    std::unordered_map<vm_id, std::uint32_t> m_vmIndex;
    claim_clock m_clock;
    log_offset m_applied; ///< never decreases
    std::uint64_t m_lastSequence = 0;
};

} // namespace fuchsialoom
