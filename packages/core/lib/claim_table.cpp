/// \file
/// The fold of one partition of the claims stream.
#include "fuchsialoom/core/claim_table.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace fuchsialoom
{

/// An append may land late, after the abandon that voids it. Past this many later abandons it would be
/// taken for a claim whose VM is gone: unknown, never run.
static constexpr std::size_t voidedRemembered = 65536;

void claim_clock::observe(std::uint32_t vm, wall_instant placed)
{
    if (!m_first || m_first->vm == vm) {
        m_first = latest{vm, m_first ? std::max(m_first->placed, placed) : placed};
    } else if (!m_second || m_second->vm == vm || m_second->placed < placed) {
        const bool same = m_second && m_second->vm == vm;
        m_second = latest{vm, same ? std::max(m_second->placed, placed) : placed};
    }
    if (m_second && m_first->placed < m_second->placed) {
        std::swap(m_first, m_second);
    }
    m_now = std::max(m_now, m_second ? m_second->placed : m_first->placed);
}

void claim_table::apply(const log_entry &entry)
{
    if (entry.offset <= m_applied) {
        return;
    }
    m_applied = entry.offset;
    if (!entry.record) {
        return;
    }
    if (const auto *claims = std::get_if<key_claims>(&entry.record->body)) {
        for (const key_claim &claim : claims->claims) {
            apply(claim);
        }
        forgetExpired();
    }
    if (const auto *ends = std::get_if<key_outcomes>(&entry.record->body)) {
        for (const key_outcome &result : ends->outcomes) {
            apply(result);
        }
        for (const key_abandon &abandon : ends->abandons) {
            apply(abandon);
        }
    }
}

const held_claim *claim_table::find(const idempotency_key &key) const
{
    const auto found = m_keys.find(key);
    return found != m_keys.end() && inForce(found->second) ? &found->second : nullptr;
}

bool claim_table::inForce(const held_claim &held) const
{
    return held.state != claim_state::Voided && m_clock.now() <= held.keptUntil;
}

void claim_table::apply(const key_claim &claim)
{
    const std::uint32_t vm = indexOf(claim.vm);
    m_clock.observe(vm, claim.placed);
    if (m_voided.contains(claim.id)) {
        return;
    }
    // A VM whose clock runs behind must not get a shorter window.
    const wall_instant keptUntil = std::max(claim.keptUntil, m_clock.now() + (claim.keptUntil - claim.placed));
    const auto [found, isNew] = m_keys.try_emplace(claim.key);
    held_claim &held = found->second;
    if (!isNew && inForce(held)) {
        // Where the claim landed twice, or is dead on arrival: the key stays taken for at least its window.
        held.keptUntil = std::max(held.keptUntil, keptUntil);
        return;
    }
    m_unsettled.erase(held.sequence);
    held = held_claim{claim.body,
                      claim.request,
                      claim.id,
                      claim.deadline,
                      keptUntil,
                      nullptr,
                      ++m_lastSequence,
                      claim.incarnation,
                      vm,
                      claim_state::Held};
    m_unsettled[held.sequence] = unsettled_claim{&found->first, &held, claim.placed};
    m_expiries.push_back(expiry{keptUntil, &found->first, &held, held.sequence});
}

void claim_table::apply(const key_outcome &result)
{
    const auto found = m_keys.find(result.key);
    if (found == m_keys.end() || !inForce(found->second) || found->second.id != result.claim) {
        return;
    }
    held_claim &held = found->second;
    // The first outcome stands; only "unknown" gives way to what became known later.
    if (held.result && held.result->known != outcome::Unknown) {
        return;
    }
    held.result = std::make_unique<held_result>(held_result{result.known, result.status, result.contentType, result.answer});
    held.state = claim_state::Settled;
    if (result.known != outcome::Unknown) {
        m_unsettled.erase(held.sequence);
    }
}

void claim_table::apply(const key_abandon &abandon)
{
    const auto found = m_keys.find(abandon.key);
    const bool holds = found != m_keys.end() && found->second.id == abandon.claim;
    if (holds && found->second.state == claim_state::Settled) {
        return;
    }
    rememberVoided(abandon.claim);
    if (holds) {
        found->second.state = claim_state::Voided;
        m_unsettled.erase(found->second.sequence);
    }
}

void claim_table::rememberVoided(const claim_id &id)
{
    if (!m_voided.insert(id).second) {
        return;
    }
    m_voidedOrder.push_back(id);
    if (m_voidedOrder.size() > voidedRemembered) {
        m_voided.erase(m_voidedOrder.front());
        m_voidedOrder.pop_front();
    }
}

void claim_table::forgetExpired()
{
    while (!m_expiries.empty() && m_expiries.front().when < m_clock.now()) {
        expiry oldest = m_expiries.front();
        m_expiries.pop_front();
        // The front's key is still there: only its latest claim's expiry, which stands behind, removes it.
        if (oldest.held->sequence != oldest.sequence) {
            continue;
        }
        if (oldest.held->state != claim_state::Voided && oldest.held->keptUntil >= m_clock.now()) {
            oldest.when = oldest.held->keptUntil;
            m_expiries.push_back(oldest);
            continue;
        }
        m_unsettled.erase(oldest.sequence);
        m_keys.erase(m_keys.find(*oldest.key));
    }
}

std::uint32_t claim_table::indexOf(const vm_id &vm)
{
    const auto [found, isNew] = m_vmIndex.try_emplace(vm, static_cast<std::uint32_t>(m_vms.size()));
    if (isNew) {
        m_vms.push_back(vm);
    }
    return found->second;
}

} // namespace fuchsialoom
