/// \file
/// Leadership of a failure domain.
#include "fuchsialoom/core/leadership.h"

#include "fuchsialoom/support/hash.h"

#include <algorithm>
#include <string>
#include <utility>

namespace fuchsialoom
{

/// A lease is renewed this many times in its length, so that one lost append doesn't end it.
static constexpr int renewalsALease = 3;
/// Candidates claim one after the other, this part of a lease apart.
static constexpr int claimStepsALease = 8;

bool leadership_fold::apply(log_offset offset, const log_record &record)
{
    if (const auto *claim = std::get_if<leadership_claim>(&record.body)) {
        return applyClaim(offset, *claim);
    }
    if (const auto *renewal = std::get_if<leadership_renewal>(&record.body)) {
        return applyRenewal(record, *renewal);
    }
    return false;
}

bool leadership_fold::applyClaim(log_offset offset, const leadership_claim &claim)
{
    const log_offset inForce = m_term ? m_term->claim : log_offset();
    const bool unchecked = m_provisional && !m_term;
    if (claim.supersedes != inForce && !unchecked) {
        return false;
    }
    m_term = leader_term{offset, claim.holder, claim.incarnation, false};
    return true;
}

bool leadership_fold::applyRenewal(const log_record &record, const leadership_renewal &renewal)
{
    const bool replaces = m_provisional && (!m_term || m_term->claim != renewal.claim);
    m_provisional = false;
    if (replaces) {
        // The claim was trimmed before this VM began to read: its holder's renewal stands for it.
        m_term = leader_term{renewal.claim, record.author, record.incarnation, renewal.release};
        return true;
    }
    if (!leads(record.author, record.incarnation, renewal.claim)) {
        return false;
    }
    m_term->released = renewal.release;
    return true;
}

bool leadership_fold::leads(const vm_id &vm, incarnation_number incarnation, log_offset fence) const
{
    return m_term && !m_term->released && m_term->claim == fence && m_term->holder == vm && m_term->incarnation == incarnation;
}

leadership::leadership(domain_id domain, vm_id vm, incarnation_number incarnation)
    : m_domain(std::move(domain))
    , m_vm(std::move(vm))
    , m_incarnation(incarnation)
    , m_candidates{m_vm}
{
}

void leadership::setCandidates(std::vector<vm_id> candidates)
{
    m_candidates = std::move(candidates);
}

record_id leadership::nextRecordId()
{
    ++m_lastRecord;
    return record_id(m_vm.text() + '/' + std::to_string(m_incarnation.value()) + "/leader/" + std::to_string(m_lastRecord));
}

bool leadership::isMine(const leader_term &term) const
{
    return term.holder == m_vm && term.incarnation == m_incarnation;
}

log_offset leadership::fence() const
{
    const std::optional<leader_term> &term = m_fold.inForce();
    return term && isMine(*term) && !term->released ? term->claim : log_offset();
}

std::vector<leader_action> leadership::onRecord(instant now, log_offset offset, const log_record &record)
{
    if (!m_fold.apply(offset, record)) {
        m_sent.erase(record.id);
        return {};
    }
    m_lapsesAt = m_fold.inForce()->released ? now : now + m_lease;
    return onTermChanged(now, record);
}

std::vector<leader_action> leadership::onTermChanged(instant now, const log_record &record)
{
    const auto sent = m_sent.find(record.id);
    const std::optional<instant> sentAt = sent == m_sent.end() ? std::nullopt : std::optional(sent->second);
    m_sent.erase(record.id);
    const log_offset mine = fence();
    if (mine.isNone()) {
        return m_leading ? lose("superseded") : std::vector<leader_action>();
    }
    if (!sentAt) {
        return {};
    }
    m_deadline = std::max(m_deadline, *sentAt + m_lease);
    if (m_deadline <= now || m_draining) {
        return {};
    }
    const event_kind kind = m_leading ? event_kind::LeaseRenewed : event_kind::LeaseGained;
    m_leading = true;
    return {leader_report{timeline_event(kind, m_domain.text()).with(event_field::Vm, m_vm).with(event_field::Fence, mine)}};
}

void leadership::onCaughtUp(instant askedAt)
{
    m_caughtUpAt = std::max(m_caughtUpAt, askedAt);
    m_caughtUpEver = true;
    m_unavailableSince.reset();
}

void leadership::onLogUnavailable(instant now)
{
    if (!m_unavailableSince) {
        m_unavailableSince = now;
    }
}

void leadership::onAppendRefused(const record_id &id)
{
    m_sent.erase(id);
}

leader_action leadership::append(instant now, record_body body)
{
    const record_id id = nextRecordId();
    m_sent[id] = now;
    m_nextAppendAt = now + m_lease / renewalsALease;
    return append_record{id, std::move(body)};
}

std::vector<leader_action> leadership::lose(const char *cause)
{
    m_leading = false;
    return {
        leader_report{timeline_event(event_kind::LeaseLost, m_domain.text()).with(event_field::Vm, m_vm).with(event_field::Cause, cause)}};
}

std::vector<leader_action> leadership::tick(instant now)
{
    const instant lastTick = std::exchange(m_lastTick, now);
    std::vector<leader_action> actions;
    if (m_leading && now >= m_deadline) {
        const bool paused = now - lastTick > m_lease / renewalsALease;
        actions = lose(paused ? "paused" : "not-renewed");
    }
    if (m_draining) {
        return actions;
    }
    std::erase_if(m_sent, [&](const auto &sent) {
        return now - sent.second > 10 * m_lease;
    });
    std::vector<leader_action> next = fence().isNone() ? claimIfFree(now) : renewIfDue(now);
    actions.insert(actions.end(), next.begin(), next.end());
    return actions;
}

std::vector<leader_action> leadership::renewIfDue(instant now)
{
    if (now < m_nextAppendAt) {
        return {};
    }
    return {append(now, leadership_renewal{m_domain, fence(), false})};
}

std::size_t leadership::rankOf() const
{
    std::vector<std::string> names;
    names.reserve(m_candidates.size());
    for (const vm_id &candidate : m_candidates) {
        names.push_back(candidate.text());
    }
    // The claim in force is part of the item, so that a VM which can't claim isn't first for ever.
    const std::optional<leader_term> &term = m_fold.inForce();
    const std::string item = m_domain.text() + '/' + std::to_string(term ? term->claim.value() : 0);
    const std::vector<std::size_t> order = rendezvous(item, names, names.size());
    for (std::size_t rank = 0; rank < order.size(); ++rank) {
        if (names[order[rank]] == m_vm.text()) {
            return rank;
        }
    }
    return order.size();
}

instant leadership::claimFrom() const
{
    return m_lapsesAt + m_lease / claimStepsALease * static_cast<int>(rankOf());
}

std::vector<leader_action> leadership::claimIfFree(instant now)
{
    // Only a read that was asked for after the lapse and found nothing newer shows that it is one.
    const instant from = claimFrom();
    if (!m_caughtUpEver || now < from || m_caughtUpAt < from || now < m_nextAppendAt || m_unavailableSince) {
        return {};
    }
    const std::optional<leader_term> &term = m_fold.inForce();
    const log_offset supersedes = term ? term->claim : log_offset();
    timeline_event event = timeline_event(event_kind::LeaseClaimed, m_domain.text()).with(event_field::Vm, m_vm);
    return {append(now, leadership_claim{m_domain, m_vm, m_incarnation, supersedes}), leader_report{std::move(event)}};
}

std::vector<leader_action> leadership::drain()
{
    m_draining = true;
    const log_offset mine = fence();
    if (mine.isNone()) {
        return {};
    }
    std::vector<leader_action> actions;
    if (m_leading) {
        actions = lose("draining");
    }
    actions.emplace_back(append_record{nextRecordId(), leadership_renewal{m_domain, mine, true}});
    return actions;
}

bool leadership::actsInOutage(instant now) const
{
    if (m_draining || !m_unavailableSince || now < *m_unavailableSince + m_lease) {
        return false;
    }
    // The last holder goes on as long as the others see it alive; else the first in rendezvous order.
    const std::optional<leader_term> &term = m_fold.inForce();
    if (term && std::find(m_candidates.begin(), m_candidates.end(), term->holder) != m_candidates.end()) {
        return isMine(*term);
    }
    return rankOf() == 0;
}

} // namespace fuchsialoom
