/// \file
/// The quotas of teams as one VM enforces them. Each VM admits against its estimate of the whole fleet's credit and tells
/// the others afterwards what it spent: a relay charges its bucket with what its members and the other relays report, and
/// its members adopt the relay's balance. The estimate is therefore as old as a message's way through the fleet, and what
/// several VMs spend meanwhile becomes debt. VMs that can't reach each other use disjoint shares of the limits. Sans-I/O.
#pragma once

#include "fuchsialoom/core/quota_bucket.h"
#include "fuchsialoom/support/ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace fuchsialoom
{

/// The net cost that a process has spent for a team since its start, or that a group of processes has.
struct team_spending
{
    team_id team;
    std::int64_t spent = 0;

    friend bool operator==(const team_spending &, const team_spending &) = default;
};

/// The credit that is left to a team, over all VMs within reach.
struct team_balance
{
    team_id team;
    std::int64_t credit = 0; ///< negative: debt

    friend bool operator==(const team_balance &, const team_balance &) = default;
};

/// Recent spending of this VM per second, as an exponentially weighted mean.
class spending_rate
{
public:
    void add(instant now, double cost);
    double perSecond(instant now) const;

private:
    double m_weighted = 0; ///< at m_updatedAt
    instant m_updatedAt{};
};

class team_quotas
{
public:
    /// Applies the limits of a configuration. Buckets of the process's first configuration start empty: what the fleet
    /// spent before isn't known. Later a team without a quota so far gets a full bucket.
    void configure(instant now, const std::map<team_id, quota_limits> &limits);

    /// \name The request path. A team without a quota is unlimited.
    /// @{
    /// Spends \p cost if the team has the credit.
    bool take(instant now, const team_id &team, std::uint64_t cost);
    /// Gives back the cost of a request that hasn't run.
    void giveBack(instant now, const team_id &team, std::uint64_t cost);
    /// Time until the team has the credit for \p cost if nothing else is spent.
    milliseconds timeUntil(instant now, const team_id &team, std::uint64_t cost) const;
    /// Nothing for a team without a quota.
    std::optional<quota_limits> limits(const team_id &team) const;
    std::optional<double> credit(instant now, const team_id &team) const;
    /// @}

    /// \name What the fleet exchanges.
    /// @{
    /// Another VM spent \p amount; negative: it gave credit back.
    void onSpentElsewhere(instant now, const team_id &team, std::int64_t amount);
    /// The balances of this VM's relay, which include \p included of this VM's own spending.
    void adoptBalances(instant now, const std::vector<team_balance> &balances, const std::vector<team_spending> &included);
    /// This VM can reach the fraction \p share of the fleet. \p alone: it reaches no other VM, and may also spend on at its
    /// recent rate, so that its callers don't notice the change of a relay.
    void setReach(instant now, double share, bool alone);
    std::vector<team_spending> spending() const;
    /// Own spending that other VMs have to hear of before the next digest.
    std::vector<team_spending> takeUrgentSpending(instant now);
    /// Whether other VMs have to hear at once that \p unreported was spent: it is much, or little credit is left.
    bool isUrgent(instant now, const team_id &team, std::int64_t unreported) const;
    /// \p onlyTight: of teams with little credit left.
    std::vector<team_balance> balances(instant now, bool onlyTight) const;
    /// @}

    /// Whether any team has a quota.
    bool isEmpty() const
    {
        return m_teams.empty();
    }
    double share() const
    {
        return m_share;
    }

private:
    struct team_state
    {
        quota_bucket bucket;
        quota_limits limits;
        std::int64_t spent = 0; ///< by this VM, net
        std::int64_t reported = 0; ///< of `spent`, by takeUrgentSpending()
        spending_rate rate;
    };

    const team_state *find(const team_id &team) const;
    void applyShare(instant now, team_state &state) const;

    std::map<team_id, team_state> m_teams; ///< with a quota
    bool m_configured = false;
    double m_share = 1;
    bool m_alone = false;
};

} // namespace fuchsialoom
