/// \file
/// Sums of the teams' spending over VMs.
#include "fuchsialoom/fleet/quota_exchange.h"

#include <algorithm>

namespace fuchsialoom
{

/// How long VMs out of reach keep their share of the quotas. A partition that lasts longer is treated as the loss of the
/// VMs beyond it.
static constexpr seconds absenceMemory{120};
/// How long after its start a VM counts all registered VMs as part of the fleet; records outlive their VMs.
static constexpr seconds registeredMemory{30};

bool quota_exchange::onReport(instant now,
                              const vm_id &source,
                              std::uint64_t incarnation,
                              const std::vector<team_spending> &totals,
                              bool isMember)
{
    const auto [found, isNew] = m_sources.try_emplace(source);
    source_state &state = found->second;
    const bool isBaseline = isNew || state.incarnation != incarnation;
    if (isBaseline) {
        state = {incarnation, {}};
    }
    bool hasChanged = false;
    for (const team_spending &one : totals) {
        std::int64_t &known = state.totals[one.team];
        const std::int64_t amount = isBaseline ? 0 : one.spent - known;
        known = one.spent;
        if (amount == 0) {
            continue;
        }
        hasChanged = true;
        m_quotas.onSpentElsewhere(now, one.team, amount);
        if (isMember) {
            m_membersSpent[one.team] += amount;
        }
    }
    return hasChanged;
}

void quota_exchange::forget(const vm_id &source)
{
    m_sources.erase(source);
}

static std::vector<team_spending> entriesOf(const std::map<team_id, std::int64_t> &totals)
{
    std::vector<team_spending> entries;
    entries.reserve(totals.size());
    for (const auto &[team, spent] : totals) {
        entries.push_back({team, spent});
    }
    return entries;
}

std::vector<team_spending> quota_exchange::reportedBy(const vm_id &source) const
{
    const auto found = m_sources.find(source);
    return found == m_sources.end() ? std::vector<team_spending>() : entriesOf(found->second.totals);
}

std::map<team_id, std::int64_t> quota_exchange::groupTotals() const
{
    std::map<team_id, std::int64_t> totals = m_membersSpent;
    for (const team_spending &own : m_quotas.spending()) {
        totals[own.team] += own.spent;
    }
    return totals;
}

std::vector<team_spending> quota_exchange::groupSpending() const
{
    return entriesOf(groupTotals());
}

std::vector<team_spending> quota_exchange::takeUrgentGroupSpending(instant now)
{
    std::vector<team_spending> entries;
    for (const auto &[team, total] : groupTotals()) {
        std::int64_t &reported = m_reported[team];
        if (m_quotas.isUrgent(now, team, total - reported)) {
            reported = total;
            entries.push_back({team, total});
        }
    }
    return entries;
}

double reach_estimate::update(instant now, std::size_t reached, std::size_t registered)
{
    if (reached >= m_peak || now - m_peakAt > absenceMemory) {
        m_peak = reached;
        m_peakAt = now;
    }
    const std::size_t recentlyStarted = now - m_startedAt < registeredMemory ? registered : 0;
    return static_cast<double>(reached) / static_cast<double>(std::max({m_peak, recentlyStarted, std::size_t{1}}));
}

} // namespace fuchsialoom
