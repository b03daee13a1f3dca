/// \file
/// Adds up what VMs report of the teams' spending. A relay's reports cover its members, so every report is charged once
/// in each relay. Reports are running totals: a lost one is made up for by the next.
#pragma once

#include "fuchsialoom/fleet/team_quotas.h"

#include <map>
#include <vector>

namespace fuchsialoom
{

class quota_exchange
{
public:
    explicit quota_exchange(team_quotas &quotas)
        : m_quotas(quotas)
    {
    }

    /// Takes in the totals of \p source, a process that is identified by \p incarnation. Its first report, and the first
    /// after forget(), only sets the totals that later ones are compared with: until then the two VMs spent from disjoint
    /// shares. \p isMember: this VM reports the spending of \p source to other relays. \return whether any total changed.
    bool onReport(instant now, const vm_id &source, std::uint64_t incarnation, const std::vector<team_spending> &totals, bool isMember);
    void forget(const vm_id &source);

    /// The totals that \p source last reported.
    std::vector<team_spending> reportedBy(const vm_id &source) const;

    /// Totals of this VM and the members that it relayed for so far.
    std::vector<team_spending> groupSpending() const;
    /// Own and members' spending that other relays have to hear of before the next digest.
    std::vector<team_spending> takeUrgentGroupSpending(instant now);

private:
    struct source_state
    {
        std::uint64_t incarnation = 0;
        std::map<team_id, std::int64_t> totals;
    };

    std::map<team_id, std::int64_t> groupTotals() const;

    team_quotas &m_quotas;
    std::map<vm_id, source_state> m_sources;
    std::map<team_id, std::int64_t> m_membersSpent; ///< by members while this VM relayed for them
    std::map<team_id, std::int64_t> m_reported; ///< group totals as last returned by takeUrgentGroupSpending()
};

/// The fraction of the fleet's VMs that a relay can reach, itself included. VMs that were reached recently count as part of
/// the fleet, since they may serve callers beyond a partition.
class reach_estimate
{
public:
    explicit reach_estimate(instant startedAt)
        : m_startedAt(startedAt)
    {
    }

    /// \p reached, \p registered: numbers of VMs. VMs that registered count for some time after this VM's start, because it
    /// doesn't know yet which of them were recently reached.
    double update(instant now, std::size_t reached, std::size_t registered);

private:
    instant m_startedAt;
    std::size_t m_peak = 0; ///< most VMs reached recently
    instant m_peakAt{}; ///< when m_peak VMs were last reached
};

} // namespace fuchsialoom
