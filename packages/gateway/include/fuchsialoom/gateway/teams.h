/// \file
/// Teams, on whose behalf callers send requests: which key belongs to which team, and what a team's requests cost.
/// Decides who a request belongs to; quotas are enforced by `team_quotas`. Keys exist only as digests.
#pragma once

#include "fuchsialoom/core/quota_bucket.h"
#include "fuchsialoom/support/digest.h"
#include "fuchsialoom/support/ids.h"
#include "fuchsialoom/support/name_table.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace fuchsialoom
{

/// Why a request isn't attributed to a team.
enum class key_problem {
    None,
    Missing,
    Ambiguous, ///< several credentials
    Malformed, ///< another scheme than the configured one, or no key in it
    Unknown, ///< no team has the key
};

template<>
struct name_table<key_problem>
{
    static constexpr auto entries = std::to_array<enum_name<key_problem>>({
        {key_problem::None, "none"},
        {key_problem::Missing, "no-key"},
        {key_problem::Ambiguous, "several-keys"},
        {key_problem::Malformed, "malformed-key"},
        {key_problem::Unknown, "unknown-key"},
    });
};

/// The key that a request presents.
struct credential
{
    key_problem problem = key_problem::Missing; ///< None: `key` is valid
    sha256_digest key;

    friend bool operator==(const credential &, const credential &) = default;
};

/// What a team's requests are counted in.
enum class quota_unit {
    Requests,
    Tokens,
};

template<>
struct name_table<quota_unit>
{
    static constexpr auto entries = std::to_array<enum_name<quota_unit>>({
        {quota_unit::Requests, "requests"},
        {quota_unit::Tokens, "tokens"},
    });
};

struct team
{
    team_id id;
    std::vector<sha256_digest> keys;
    std::optional<int> rank; ///< takes precedence over the route's
    std::optional<quota_limits> quota; ///< unset: unlimited
    quota_unit unit = quota_unit::Requests;
    std::uint64_t plainCost = 1; ///< in tokens, of a request that states no token counts

    friend bool operator==(const team &, const team &) = default;
};

/// The result of looking up a credential; `owner` is null unless `problem` is None.
struct key_verdict
{
    key_problem problem = key_problem::None;
    const team *owner = nullptr;
};

class team_directory
{
public:
    /// A key that several teams have belongs to the first of them, and so does an id.
    void assign(std::vector<team> teams);

    /// The pointer in the result is valid until the next assign().
    key_verdict check(const credential &presented) const;

    /// Null for an unknown team.
    const team *find(const team_id &id) const;

    const std::vector<team> &teams() const
    {
        return m_teams;
    }

private:
    std::vector<team> m_teams; ///< sorted by id, which is unique
    std::map<sha256_digest, std::size_t> m_byKey; ///< indices into m_teams
};

/// What a request of \p payer costs. \p statedTokens: the prompt and output tokens that it states, unset if it states none.
std::uint64_t quotaCost(const team &payer, std::optional<std::uint64_t> statedTokens);

} // namespace fuchsialoom
