/// \file
/// The machine that leads a failure domain: leadership, memory ledger and orders, put together. Every VM
/// of the domain runs one, so that each follows the ledger and any can take over.
///
/// Orders to targets that don't check fencing: an intent is appended, read back as valid, and only then
/// sent, once. In an outage of the log there are no new intents: the ledger is frozen for these targets.
/// A reserve of load intents logged ahead was weighed and left out: which loads an outage will need
/// isn't known before it, every such intent holds its bytes on its target in normal times as well, and
/// a reserve for one lost target of 18 would hold back a whole target's room.
///
/// Orders to targets that check fencing need no log: the leader fences the target with its number,
/// reads the state, and from then on no older order can land. In an outage it goes on with a number
/// above the highest that the target reports.
#pragma once

#include "fuchsialoom/core/leader_messages.h"
#include "fuchsialoom/core/leadership.h"
#include "fuchsialoom/core/memory_ledger.h"
#include "fuchsialoom/core/order_steps.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fuchsialoom
{

class domain_leader
{
public:
    domain_leader(domain_id domain, vm_id vm, incarnation_number incarnation);

    std::vector<leader_action> step(instant now, wall_instant wall, const leader_event &event);

    const leadership &lease() const
    {
        return m_lease;
    }
    const memory_ledger &ledger() const
    {
        return m_ledger;
    }

    /// Offset of the next record to read.
    log_offset nextOffset() const
    {
        return log_offset(m_applied.value() + 1);
    }

    /// The log is out, so that nobody orders targets which don't check fencing, whoever leads.
    bool isFrozen() const
    {
        return m_logDown;
    }

    /// Whether this VM decides what the domain's targets hold: by its lease, or in an outage of the log.
    bool decides(instant now) const
    {
        return !m_draining && (m_lease.holds(now) || m_lease.actsInOutage(now));
    }

private:
    /// An order that this process made, until its end is in the log.
    struct own_order
    {
        order_intent intent;
        record_id record; ///< of the append; empty for orders that need no log
        instant madeAt;
        bool sent = false; ///< handed to the sender, once
    };

    void handle(const log_records_read &event);
    void handle(const log_read_failed &event);
    void handle(const append_refused &event);
    void handle(const target_state_read &event);
    void handle(const target_state_failed &event);
    void handle(const order_answered &event);
    void handle(const domain_targets &event);
    void handle(const domain_vms &event);
    void handle(const placement_wanted &event);
    void handle(const leader_settings_changed &event);
    void handle(const leader_time_passed &event);
    void handle(const leader_drain_started &event);

    void fold(const log_entry &entry);
    void foldIntent(log_offset offset, const log_record &record, const order_intent &intent);
    void foldResolved(const log_record &record, const order_resolved &resolved);
    void startOver(log_offset first);
    void noticeTerm();
    bool isHolder(const log_record &record) const;
    bool isMe(const vm_id &vm, incarnation_number incarnation) const;

    bool acts(const target_account &account) const;
    void tick();
    void readStates();
    void unfenceUnanswered();
    void fenceTargets();
    void resolve(const target_account &account);
    void resolve(const target_account &account, const provable_end &end);
    void dropUnread();
    void carryOver();
    void order();
    void make(const order_step &step);
    void withhold(const withheld_step &step);
    void send(own_order &own);
    void sayNeverSent(const order_intent &intent, log_offset offset);
    void fenceAnswered(const own_order &own, const order_answered &event);
    void settle(const order_answered &event);
    void thaw();
    void sayFrozen();

    void append(record_body body);
    void emit(timeline_event event);
    order_id nextOrderId();
    bool mayRepeat(std::map<order_id, instant> &lastTimes, const order_id &order) const;

    const domain_id m_domain;
    const vm_id m_vm;
    const incarnation_number m_incarnation;
    leadership m_lease;
    memory_ledger m_ledger;
    leader_settings m_settings;
    load_allowance m_share;
    std::optional<residency_goal> m_wanted; ///< nothing until a planner has said what it wants
    log_offset m_applied; ///< every record up to it is folded
    log_offset m_first; ///< lowest offset that the log keeps
    log_offset m_end; ///< offset of the next append, as last read
    log_offset m_term; ///< own claim whose term the ledger was prepared for; none while others lead
    std::map<order_id, own_order> m_own;
    std::map<target_id, instant> m_reads; ///< reads under way, and when each was asked for
    std::map<order_id, instant> m_resolutions; ///< resolutions appended, and when
    std::map<order_id, instant> m_carried; ///< intents carried over, and when
    std::map<target_id, fencing_number> m_reportedFences; ///< highest numbers that targets have answered with
    std::map<target_id, std::string> m_withheld; ///< the latest withheld step of each target, said once
    bool m_logDown = false;
    bool m_saidFrozen = false; ///< LedgerFrozen was said and holds
    bool m_draining = false;
    std::uint64_t m_lastOrder = 0;

    /// \name Valid during step() alone.
    /// @{
    instant m_now{};
    wall_instant m_wall{};
    std::vector<leader_action> m_actions;
    /// @}
};

} // namespace fuchsialoom
