/// \file
/// The machine that leads a failure domain: events in, the stream folded.
#include "fuchsialoom/core/domain_leader.h"

#include <utility>

namespace fuchsialoom
{

domain_leader::domain_leader(domain_id domain, vm_id vm, incarnation_number incarnation)
    : m_domain(std::move(domain))
    , m_vm(std::move(vm))
    , m_incarnation(incarnation)
    , m_lease(m_domain, m_vm, m_incarnation)
{
}

std::vector<leader_action> domain_leader::step(instant now, wall_instant wall, const leader_event &event)
{
    m_now = now;
    m_wall = wall;
    std::visit(
        [this](const auto &body) {
            handle(body);
        },
        event);
    return std::exchange(m_actions, {});
}

static void addAll(std::vector<leader_action> &to, std::vector<leader_action> from)
{
    std::move(from.begin(), from.end(), std::back_inserter(to));
}

void domain_leader::handle(const log_records_read &event)
{
    m_first = event.first;
    m_end = event.next;
    if (event.first > nextOffset()) {
        startOver(event.first);
    }
    for (const log_entry &entry : event.entries) {
        if (entry.offset == nextOffset()) {
            fold(entry);
            m_applied = entry.offset;
        }
    }
    if (event.reachedEnd) {
        m_lease.onCaughtUp(event.askedAt);
        thaw();
    }
}

void domain_leader::startOver(log_offset first)
{
    // Records are lost to this VM. What is open is carried over by the leader before it is trimmed.
    m_lease.startBehindTrim();
    m_ledger.forgetOpen();
    m_own.clear();
    m_applied = log_offset(first.value() - 1);
}

void domain_leader::fold(const log_entry &entry)
{
    if (!entry.record) {
        return;
    }
    const log_record &record = *entry.record;
    addAll(m_actions, m_lease.onRecord(m_now, entry.offset, record));
    if (const auto *intent = std::get_if<order_intent>(&record.body)) {
        foldIntent(entry.offset, record, *intent);
    } else if (const auto *resolved = std::get_if<order_resolved>(&record.body)) {
        foldResolved(record, *resolved);
    }
    noticeTerm();
}

bool domain_leader::isMe(const vm_id &vm, incarnation_number incarnation) const
{
    return vm == m_vm && incarnation == m_incarnation;
}

bool domain_leader::isHolder(const log_record &record) const
{
    const std::optional<leader_term> &term = m_lease.fold().inForce();
    return term && m_lease.fold().leads(record.author, record.incarnation, term->claim);
}

void domain_leader::foldIntent(log_offset offset, const log_record &record, const order_intent &intent)
{
    const auto own = m_own.find(intent.id);
    if (!isHolder(record)) {
        if (own != m_own.end() && !own->second.sent && isMe(record.author, record.incarnation)) {
            m_ledger.close(intent.id, m_now);
            m_own.erase(own);
        }
        return;
    }
    const bool wasOpen = m_ledger.find(intent.id) != nullptr && !m_ledger.find(intent.id)->offset.isNone();
    m_ledger.applyIntent(m_now, offset, record, intent);
    if (wasOpen || !isMe(record.author, record.incarnation) || m_ledger.find(intent.id) == nullptr) {
        return;
    }
    if (own == m_own.end() || !m_lease.holds(m_now) || m_draining) {
        m_own.erase(intent.id);
        sayNeverSent(intent, offset);
        return;
    }
    send(own->second);
}

void domain_leader::foldResolved(const log_record &record, const order_resolved &resolved)
{
    const open_order *order = m_ledger.findIntent(resolved.intent);
    if (order == nullptr) {
        return;
    }
    const bool byAuthor = order->author == record.author && order->authorIncarnation == record.incarnation;
    if (!byAuthor && !isHolder(record)) {
        return;
    }
    const order_id id = order->intent.id;
    m_ledger.applyResolved(m_now, resolved.intent);
    m_own.erase(id);
    m_resolutions.erase(id);
    m_carried.erase(id);
    emit(timeline_event(event_kind::OrderResolved, id.text())
             .with(event_field::LogOffset, resolved.intent)
             .with(event_field::Outcome, resolved.resolution));
}

/// Notes that this VM's claim has come into force, or went out of it.
void domain_leader::noticeTerm()
{
    const log_offset mine = m_lease.fence();
    if (mine == m_term) {
        return;
    }
    m_term = mine;
    // What was appended under an older claim and not read back is never sent: others may have ordered since.
    std::erase_if(m_own, [&](const auto &item) {
        const own_order &own = item.second;
        if (own.sent || own.record.empty()) {
            return false;
        }
        m_ledger.close(own.intent.id, m_now);
        return true;
    });
    if (mine.isNone()) {
        return;
    }
    m_ledger.startTerm(m_now);
    m_reads.clear();
    std::size_t open = 0;
    for (const auto &[id, account] : m_ledger.accounts()) {
        open += account.open.size();
    }
    emit(timeline_event(event_kind::LedgerRebuilt, m_domain.text())
             .with(event_field::Fence, mine)
             .with(event_field::LogOffset, m_applied)
             .with(event_field::Count, open));
}

void domain_leader::handle(const log_read_failed &)
{
    m_lease.onLogUnavailable(m_now);
    m_logDown = true;
    sayFrozen();
}

/// Said by the leader at once, and by who acts in its place when that begins.
void domain_leader::sayFrozen()
{
    if (!m_logDown || m_saidFrozen || (m_term.isNone() && !m_lease.actsInOutage(m_now))) {
        return;
    }
    m_saidFrozen = true;
    emit(timeline_event(event_kind::LedgerFrozen, m_domain.text()).with(event_field::Cause, "log-unavailable"));
}

void domain_leader::thaw()
{
    m_logDown = false;
    m_saidFrozen = false;
}

void domain_leader::handle(const append_refused &event)
{
    m_lease.onAppendRefused(event.id);
    for (auto own = m_own.begin(); own != m_own.end(); ++own) {
        if (own->second.record == event.id && !own->second.sent) {
            m_ledger.close(own->first, m_now);
            m_own.erase(own);
            return;
        }
    }
}

void domain_leader::handle(const target_state_read &event)
{
    m_reads.erase(event.state.target);
    m_ledger.observe(event.state);
}

void domain_leader::handle(const target_state_failed &event)
{
    m_reads.erase(event.target);
    m_ledger.unreachable(event.target, m_now);
}

void domain_leader::handle(const domain_targets &event)
{
    m_ledger.setTargets(event.targets);
}

void domain_leader::handle(const domain_vms &event)
{
    m_lease.setCandidates(event.vms);
}

void domain_leader::handle(const placement_wanted &event)
{
    m_wanted = event.placement;
}

void domain_leader::handle(const leader_settings_changed &event)
{
    m_settings = event.settings;
    m_lease.setLease(m_settings.lease);
    m_share.configure(m_settings.weightSlots, m_settings.weightLoadsPerMinute);
}

void domain_leader::handle(const leader_time_passed &)
{
    addAll(m_actions, m_lease.tick(m_now));
    sayFrozen();
    tick();
}

void domain_leader::handle(const leader_drain_started &)
{
    m_draining = true;
    for (const auto &[id, own] : m_own) {
        const open_order *order = m_ledger.find(id);
        if (!own.sent && order != nullptr && !order->offset.isNone()) {
            sayNeverSent(own.intent, order->offset);
        }
    }
    addAll(m_actions, m_lease.drain());
}

void domain_leader::append(record_body body)
{
    m_actions.emplace_back(append_record{m_lease.nextRecordId(), std::move(body)});
}

void domain_leader::emit(timeline_event event)
{
    m_actions.emplace_back(leader_report{std::move(event)});
}

} // namespace fuchsialoom
