/// \file
/// Lookup of teams by key, and the cost of requests.
#include "fuchsialoom/gateway/teams.h"

#include <algorithm>

namespace fuchsialoom
{

void team_directory::assign(std::vector<team> teams)
{
    std::map<sha256_digest, team_id> owners;
    for (const team &one : teams) {
        for (const sha256_digest &key : one.keys) {
            owners.try_emplace(key, one.id);
        }
    }
    std::ranges::stable_sort(teams, {}, &team::id);
    const auto repeated = std::unique(teams.begin(), teams.end(), [](const team &left, const team &right) {
        return left.id == right.id;
    });
    teams.erase(repeated, teams.end());
    m_teams = std::move(teams);
    m_byKey.clear();
    for (const auto &[key, owner] : owners) {
        m_byKey.emplace(key, static_cast<std::size_t>(find(owner) - m_teams.data()));
    }
}

const team *team_directory::find(const team_id &id) const
{
    const auto found = std::ranges::lower_bound(m_teams, id, {}, &team::id);
    return found == m_teams.end() || found->id != id ? nullptr : &*found;
}

key_verdict team_directory::check(const credential &presented) const
{
    if (presented.problem != key_problem::None) {
        return {presented.problem, nullptr};
    }
    const auto found = m_byKey.find(presented.key);
    if (found == m_byKey.end()) {
        return {key_problem::Unknown, nullptr};
    }
    return {key_problem::None, &m_teams[found->second]};
}

std::uint64_t quotaCost(const team &payer, std::optional<std::uint64_t> statedTokens)
{
    if (payer.unit == quota_unit::Requests) {
        return 1;
    }
    // A request that states no work at all would otherwise be free of charge.
    return statedTokens.value_or(0) > 0 ? *statedTokens : payer.plainCost;
}

} // namespace fuchsialoom
