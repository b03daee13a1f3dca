/// \file
/// The machine that leads a failure domain: reads, fencing, orders and their ends.
#include "fuchsialoom/core/domain_leader.h"

#include "fuchsialoom/support/hash.h"

#include <algorithm>
#include <utility>

namespace fuchsialoom
{

/// The state of a target is read at least this often while this VM leads.
static constexpr milliseconds refreshEvery{1000};
/// A read without an answer for this long is asked for anew.
static constexpr milliseconds readTimeout{3000};
/// An append without effect for this long is repeated.
static constexpr milliseconds repeatAfter{2000};
/// An order open for this long without an answer is stuck: another may be made beside it.
static constexpr seconds stuckAfter{30};
/// An intent that isn't read back for this long is given up; should it appear, it counts as never sent.
static constexpr seconds unreadAfter{15};
/// A target that checks fencing is fenced anew when it hasn't answered an order for this long.
static constexpr seconds unansweredAfter{10};
/// In an outage of the log there is no lease to bound a send by.
static constexpr milliseconds outageSend{1000};
/// An intent is carried over when it stands in this first part of what the log keeps.
static constexpr std::uint64_t carryPart = 4;
/// Low bits of a fencing number that tell the VMs apart; the rest is a claim's offset, or above it. Two VMs that
/// fence a target at once draw the same ones once in 16 million times.
static constexpr unsigned fenceTagBits = 24;

order_id domain_leader::nextOrderId()
{
    ++m_lastOrder;
    return order_id(m_vm.text() + '/' + std::to_string(m_incarnation.value()) + "/order/" + std::to_string(m_lastOrder));
}

bool domain_leader::acts(const target_account &account) const
{
    if (m_draining) {
        return false;
    }
    return m_lease.holds(m_now) || (account.target.checksFencing && m_lease.actsInOutage(m_now));
}

void domain_leader::tick()
{
    for (const auto &[id, account] : m_ledger.accounts()) {
        resolve(account);
    }
    readStates();
    dropUnread();
    fenceTargets();
    carryOver();
    order();
}

void domain_leader::readStates()
{
    for (const auto &[id, account] : m_ledger.accounts()) {
        const auto underWay = m_reads.find(id);
        const bool waiting = underWay != m_reads.end() && underWay->second + readTimeout > m_now && underWay->second > account.freshAfter;
        const bool recent = account.isFresh() && account.state->askedAt + refreshEvery > m_now;
        if (waiting || recent || !acts(account)) {
            continue;
        }
        m_reads[id] = m_now;
        m_actions.emplace_back(read_target_state{id});
    }
}

/// An order without an answer for long may land at any time; a higher number puts an end to it.
void domain_leader::unfenceUnanswered()
{
    std::vector<target_id> unanswered;
    for (const auto &[id, account] : m_ledger.accounts()) {
        const bool waits = std::any_of(account.open.begin(), account.open.end(), [&](const open_order &order) {
            return order.offset.isNone() && !order.acceptedAt && order.openedAt + unansweredAfter < m_now;
        });
        if (waits && account.target.checksFencing && !account.fencedWith.isNone()) {
            unanswered.push_back(id);
        }
    }
    for (const target_id &id : unanswered) {
        m_ledger.unfence(id);
    }
}

/// A number above \p highest, and not below the term of \p claim. Two VMs that act in one outage may both
/// have read the same number at the target, and a target takes orders with a number equal to its own: so
/// the low bits tell the VMs apart.
static std::uint64_t fenceAbove(std::uint64_t highest, std::uint64_t claim, const order_id &order)
{
    const std::uint64_t round = std::max(claim, (highest >> fenceTagBits) + 1);
    const std::uint64_t tag = hashOf(order.text()).value() & ((std::uint64_t{1} << fenceTagBits) - 1);
    return (round << fenceTagBits) | tag;
}

void domain_leader::fenceTargets()
{
    unfenceUnanswered();
    for (const auto &[id, account] : m_ledger.accounts()) {
        if (!account.target.checksFencing || !account.fencedWith.isNone() || !account.isFresh() || !acts(account)) {
            continue;
        }
        const target_id &target = id;
        const bool underWay = std::any_of(m_own.begin(), m_own.end(), [&](const auto &item) {
            const own_order &own = item.second;
            return own.intent.operation == order_operation::Fence && own.intent.target == target && own.madeAt + readTimeout > m_now;
        });
        if (underWay) {
            continue;
        }
        const std::uint64_t highest = std::max({account.state->fence.value(), account.highestUsed.value(), m_reportedFences[id].value()});
        const std::optional<leader_term> &term = m_lease.fold().inForce();
        own_order own;
        own.intent.id = nextOrderId();
        const std::uint64_t number = fenceAbove(highest, term ? term->claim.value() : 0, own.intent.id);
        own.intent.target = id;
        own.intent.operation = order_operation::Fence;
        own.intent.fence = log_offset(number);
        own.madeAt = m_now;
        m_ledger.noteNumber(id, fencing_number(number));
        send(m_own[own.intent.id] = own);
    }
}

void domain_leader::fenceAnswered(const own_order &own, const order_answered &event)
{
    const fencing_number number(own.intent.fence.value());
    if (event.answer == order_answer::Accepted) {
        m_ledger.fenced(own.intent.target, number, m_now);
        std::erase_if(m_own, [&](const auto &item) {
            return item.second.record.empty() && item.second.intent.target == own.intent.target && item.second.intent.id != own.intent.id
                && item.second.intent.fence.value() < number.value();
        });
        emit(timeline_event(event_kind::TargetFenced, own.intent.target.text()).with(event_field::Fence, number));
    } else if (event.answer == order_answer::StaleFence) {
        fencing_number &reported = m_reportedFences[own.intent.target];
        reported = std::max(reported, event.fence);
    }
    m_own.erase(event.id);
}

void domain_leader::handle(const order_answered &event)
{
    const auto own = m_own.find(event.id);
    if (own == m_own.end()) {
        return;
    }
    if (own->second.intent.operation == order_operation::Fence) {
        fenceAnswered(own->second, event);
        return;
    }
    settle(event);
}

void domain_leader::settle(const order_answered &event)
{
    const own_order &own = m_own.at(event.id);
    if (event.answer == order_answer::StaleFence) {
        fencing_number &reported = m_reportedFences[own.intent.target];
        reported = std::max(reported, event.fence);
        m_ledger.unfence(own.intent.target);
    }
    switch (event.answer) {
    case order_answer::Accepted:
        m_ledger.accept(event.id, m_now);
        // A load that was taken can't land again, and shows in every read from now on. Its author may say so
        // even when it leads no more. An unload may take its time, so that needs a leader's read.
        if (isLoad(own.intent.operation)) {
            m_ledger.settle(event.id, order_resolution::Done);
        }
        break;
    case order_answer::Refused:
    case order_answer::StaleFence:
        m_ledger.settle(event.id, order_resolution::Refused);
        break;
    case order_answer::Expired:
        m_ledger.settle(event.id, order_resolution::Expired);
        break;
    case order_answer::NotSent:
        m_ledger.settle(event.id, order_resolution::NeverSent);
        break;
    case order_answer::Unknown:
        // It stays open until something is proved. A higher fencing number proves it at once.
        if (own.record.empty()) {
            m_ledger.unfence(own.intent.target);
        }
        break;
    }
}

bool domain_leader::mayRepeat(std::map<order_id, instant> &lastTimes, const order_id &order) const
{
    const auto [last, isNew] = lastTimes.try_emplace(order, m_now);
    if (!isNew && last->second + repeatAfter > m_now) {
        return false;
    }
    last->second = m_now;
    return true;
}

void domain_leader::resolve(const target_account &account)
{
    for (const provable_end &end : m_ledger.provable(account, m_wall)) {
        resolve(account, end);
    }
}

/// A leader records every proved end; the author of an order also what the target's answer proved.
void domain_leader::resolve(const target_account &account, const provable_end &end)
{
    const open_order *order = m_ledger.find(end.order);
    const bool mine = isMe(order->author, order->authorIncarnation);
    if (end.intent.isNone()) {
        if (mine && (order->settled || acts(account))) {
            emit(timeline_event(event_kind::OrderResolved, end.order.text()).with(event_field::Outcome, end.resolution));
            m_own.erase(end.order);
            m_ledger.close(end.order, m_now);
        }
        return;
    }
    const bool proved = m_lease.holds(m_now) || (mine && order->settled);
    if (proved) {
        // An order that is over stays so, whatever is loaded there later; the append may be lost.
        m_ledger.settle(end.order, end.resolution);
    }
    if (proved && !m_logDown && mayRepeat(m_resolutions, end.order)) {
        append(order_resolved{m_domain, m_lease.fence(), end.intent, end.resolution});
    }
}

void domain_leader::sayNeverSent(const order_intent &intent, log_offset offset)
{
    m_ledger.settle(intent.id, order_resolution::NeverSent);
    m_resolutions[intent.id] = m_now;
    append(order_resolved{m_domain, m_lease.fence(), offset, order_resolution::NeverSent});
}

void domain_leader::dropUnread()
{
    std::erase_if(m_own, [&](const auto &item) {
        const own_order &own = item.second;
        if (own.sent || own.madeAt + unreadAfter > m_now) {
            return false;
        }
        m_ledger.close(own.intent.id, m_now);
        return true;
    });
}

/// Appends open intents anew before the log's retention ends them, so that every later reader meets them.
void domain_leader::carryOver()
{
    if (!m_lease.holds(m_now) || m_logDown || m_first.value() <= 1) {
        return;
    }
    const std::uint64_t before = m_first.value() + (m_end.value() - m_first.value()) / carryPart;
    for (const auto &[id, account] : m_ledger.accounts()) {
        for (const open_order &order : account.open) {
            if (!order.offset.isNone() && order.offset.value() < before && mayRepeat(m_carried, order.intent.id)) {
                append(order.intent);
            }
        }
    }
}

void domain_leader::order()
{
    const bool mayOrder = m_lease.holds(m_now) || m_lease.actsInOutage(m_now);
    if (!m_wanted || m_draining || !mayOrder) {
        return;
    }
    m_ledger.setWithoutLog(!m_lease.holds(m_now));
    const step_chooser chooser(m_ledger, *m_wanted, m_now, m_now - stuckAfter);
    const next_steps steps = chooser.choose(m_share);
    for (const withheld_step &step : steps.withheld) {
        withhold(step);
    }
    for (const order_step &step : steps.orders) {
        // Checked once more: the orders made just now count as well, on this target and on others.
        if (chooser.check(step) == ledger_verdict::Allowed) {
            make(step);
        }
    }
}

void domain_leader::make(const order_step &step)
{
    const target_account &account = *m_ledger.find(step.target);
    const bool inLog = !account.target.checksFencing;
    if (!acts(account) || (inLog && m_logDown)) {
        return;
    }
    m_withheld.erase(step.target);
    own_order own;
    own.intent.id = nextOrderId();
    own.intent.domain = m_domain;
    own.intent.fence = inLog ? m_lease.fence() : log_offset(account.fencedWith.value());
    own.intent.target = step.target;
    own.intent.targetIncarnation = account.state->incarnation;
    own.intent.operation = step.operation;
    own.intent.model = step.what.model;
    own.intent.version = step.what.version;
    own.intent.adapter = step.what.adapter;
    own.intent.bytes = step.bytes;
    if (account.target.honoursExpiry) {
        own.intent.expires = m_wall + m_settings.orderExpiry;
    }
    own.madeAt = m_now;
    m_ledger.open(m_now, own.intent, m_vm, m_incarnation);
    if (isLoad(step.operation)) {
        m_share.take(m_now);
    }
    emit(timeline_event(event_kind::OrderIntended, own.intent.id.text())
             .with(event_field::Target, step.target)
             .with(event_field::Operation, step.operation)
             .with(event_field::Model, step.what.model)
             .with(event_field::Version, step.what.version)
             .with(event_field::Adapter, step.what.adapter)
             .with(event_field::Bytes, step.bytes));
    if (inLog) {
        own.record = m_lease.nextRecordId();
        m_actions.emplace_back(append_record{own.record, own.intent});
        m_own.emplace(own.intent.id, std::move(own));
        return;
    }
    send(m_own[own.intent.id] = own);
}

void domain_leader::withhold(const withheld_step &withheld)
{
    if (!withheld.isBlocked()) {
        return;
    }
    const order_step &step = withheld.step;
    std::string text = step.what.model.text() + '/' + std::string(nameOf(withheld.why));
    std::string &last = m_withheld[step.target];
    if (last == text) {
        return;
    }
    last = std::move(text);
    emit(timeline_event(event_kind::OrderWithheld, step.target.text())
             .with(event_field::Operation, step.operation)
             .with(event_field::Model, step.what.model)
             .with(event_field::Bytes, step.bytes)
             .with(event_field::Cause, withheld.why));
}

void domain_leader::send(own_order &own)
{
    own.sent = true;
    const order_intent &intent = own.intent;
    const instant notAfter = m_lease.holds(m_now) ? m_lease.deadline() : m_now + outageSend;
    target_order order{intent.id,
                       fencing_number(intent.fence.value()),
                       intent.target,
                       intent.operation,
                       intent.model,
                       intent.version,
                       intent.adapter,
                       intent.bytes,
                       intent.expires};
    emit(timeline_event(event_kind::OrderSent, intent.id.text())
             .with(event_field::Target, intent.target)
             .with(event_field::Operation, intent.operation)
             .with(event_field::Fence, intent.fence));
    m_actions.emplace_back(send_order{std::move(order), notAfter});
}

} // namespace fuchsialoom
