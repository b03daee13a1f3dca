/// \file
/// Admission against the fleet's credit.
#include "fuchsialoom/fleet/team_quotas.h"

#include <algorithm>
#include <cmath>

namespace fuchsialoom
{

/// Time constant of spending_rate.
static constexpr double rateMemorySeconds = 2.0;
/// Fraction of a burst that a VM may spend before it reports it.
static constexpr double maxUnreportedFraction = 0.02;

void spending_rate::add(instant now, double cost)
{
    m_weighted = rateMemorySeconds * perSecond(now) + cost;
    m_updatedAt = now;
}

double spending_rate::perSecond(instant now) const
{
    const double seconds = std::max(0.0, std::chrono::duration<double>(now - m_updatedAt).count());
    return m_weighted * std::exp(-seconds / rateMemorySeconds) / rateMemorySeconds;
}

void team_quotas::configure(instant now, const std::map<team_id, quota_limits> &limits)
{
    std::erase_if(m_teams, [&limits](const auto &entry) {
        return !limits.contains(entry.first);
    });
    for (const auto &[team, limit] : limits) {
        const auto [found, isNew] = m_teams.try_emplace(team, team_state{quota_bucket(now, limit), limit, 0, 0, {}});
        team_state &state = found->second;
        state.limits = limit;
        state.bucket.setLimits(now, limit);
        applyShare(now, state);
        if (isNew && m_configured) {
            state.bucket.fill(now);
        }
    }
    m_configured = true;
}

const team_quotas::team_state *team_quotas::find(const team_id &team) const
{
    const auto found = m_teams.find(team);
    return found == m_teams.end() ? nullptr : &found->second;
}

bool team_quotas::take(instant now, const team_id &team, std::uint64_t cost)
{
    const auto found = m_teams.find(team);
    if (found == m_teams.end()) {
        return true;
    }
    team_state &state = found->second;
    if (!state.bucket.take(now, static_cast<double>(cost))) {
        return false;
    }
    state.spent += static_cast<std::int64_t>(cost);
    state.rate.add(now, static_cast<double>(cost));
    return true;
}

void team_quotas::giveBack(instant now, const team_id &team, std::uint64_t cost)
{
    const auto found = m_teams.find(team);
    if (found == m_teams.end()) {
        return; // the quota was lifted meanwhile
    }
    found->second.bucket.spend(now, -static_cast<double>(cost));
    found->second.spent -= static_cast<std::int64_t>(cost);
}

milliseconds team_quotas::timeUntil(instant now, const team_id &team, std::uint64_t cost) const
{
    const team_state *state = find(team);
    return state ? state->bucket.timeUntil(now, static_cast<double>(cost)) : milliseconds(0);
}

std::optional<quota_limits> team_quotas::limits(const team_id &team) const
{
    const team_state *state = find(team);
    return state ? std::optional(state->limits) : std::nullopt;
}

std::optional<double> team_quotas::credit(instant now, const team_id &team) const
{
    const team_state *state = find(team);
    return state ? std::optional(state->bucket.credit(now)) : std::nullopt;
}

void team_quotas::onSpentElsewhere(instant now, const team_id &team, std::int64_t amount)
{
    const auto found = m_teams.find(team);
    if (found != m_teams.end()) {
        found->second.bucket.spend(now, static_cast<double>(amount));
    }
}

void team_quotas::adoptBalances(instant now, const std::vector<team_balance> &balances, const std::vector<team_spending> &included)
{
    std::map<team_id, std::int64_t> reported;
    for (const team_spending &one : included) {
        reported[one.team] = one.spent;
    }
    for (const team_balance &one : balances) {
        const auto found = m_teams.find(one.team);
        if (found != m_teams.end()) {
            const std::int64_t onItsWay = found->second.spent - reported[one.team];
            found->second.bucket.setCredit(now, static_cast<double>(one.credit - onItsWay));
        }
    }
}

void team_quotas::applyShare(instant now, team_state &state) const
{
    const double recent = m_alone ? state.rate.perSecond(now) / state.limits.perSecond : 0;
    state.bucket.setShare(now, std::max(m_share, recent));
}

void team_quotas::setReach(instant now, double share, bool alone)
{
    if (share == m_share && alone == m_alone) {
        return;
    }
    m_share = share;
    m_alone = alone;
    for (auto &[team, state] : m_teams) {
        applyShare(now, state);
    }
}

std::vector<team_spending> team_quotas::spending() const
{
    std::vector<team_spending> entries;
    for (const auto &[team, state] : m_teams) {
        if (state.spent != 0) {
            entries.push_back({team, state.spent});
        }
    }
    return entries;
}

std::vector<team_spending> team_quotas::takeUrgentSpending(instant now)
{
    std::vector<team_spending> entries;
    for (auto &[team, state] : m_teams) {
        if (isUrgent(now, team, state.spent - state.reported)) {
            entries.push_back({team, state.spent});
            state.reported = state.spent;
        }
    }
    return entries;
}

bool team_quotas::isUrgent(instant now, const team_id &team, std::int64_t unreported) const
{
    const team_state *state = find(team);
    if (!state || unreported == 0) {
        return false;
    }
    const double most = maxUnreportedFraction * std::max(state->limits.burst, state->limits.perSecond);
    return std::abs(static_cast<double>(unreported)) >= most || state->bucket.isTight(now);
}

std::vector<team_balance> team_quotas::balances(instant now, bool onlyTight) const
{
    std::vector<team_balance> entries;
    for (const auto &[team, state] : m_teams) {
        if (!onlyTight || state.bucket.isTight(now)) {
            entries.push_back({team, static_cast<std::int64_t>(state.bucket.credit(now))});
        }
    }
    return entries;
}

} // namespace fuchsialoom
