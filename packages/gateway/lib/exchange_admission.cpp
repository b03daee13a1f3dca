/// \file
/// Admission of one request: which team it belongs to, and whether the team has the credit for it.
#include "exchange.h"

#include <cassert>
#include <utility>

namespace fuchsialoom
{

static constexpr int statusUnauthorized = 401;
static constexpr int statusOverQuota = 429;
static constexpr double permille = 1000;

/// A newer configuration arrives within this time, unless the store is out of reach.
static constexpr milliseconds retryAfterConfiguration{300};

bool exchange::refuseIfBehind()
{
    const bool isBehind = m_gateway.m_newestVersion > m_configVersion;
    if (isBehind) {
        refuse(refusal::ConfigurationBehind, retryAfterConfiguration);
    }
    return isBehind;
}

bool exchange::authorize()
{
    if (!m_gateway.configuration().teams) {
        return true;
    }
    m_team = team_id();
    const credential presented = m_gateway.m_dialect.readCredential(m_request);
    const key_verdict verdict = m_gateway.m_teams.check(presented);
    if (verdict.owner) {
        m_team = verdict.owner->id;
        m_route.rank = verdict.owner->rank.value_or(m_route.rank);
        return true;
    }
    if (m_route.isPublic) {
        return true;
    }
    if (verdict.problem == key_problem::Unknown && refuseIfBehind()) {
        return false;
    }
    header_list headers;
    m_gateway.m_dialect.writeChallenge(headers, verdict.problem);
    deny(statusUnauthorized,
         std::move(headers),
         log_line("unauthorized", m_facts.id)
             .with("problem", verdict.problem)
             .with("key", presented.problem == key_problem::None ? presented.key.shortText() : std::string())
             .with("route", m_route.name));
    return false;
}

void exchange::followRoute(const route &other)
{
    m_route = other;
    m_configVersion = m_gateway.configuration().version;
    const team *payer = m_team ? m_gateway.m_teams.find(*m_team) : nullptr;
    if (payer) {
        m_route.rank = payer->rank.value_or(m_route.rank);
    }
    resolveRoute();
}

bool exchange::chargeTeam()
{
    if (!m_team || m_team->empty() || (m_passedOn && m_passedOn->isCharged)) {
        return true;
    }
    const team *payer = m_gateway.m_teams.find(*m_team);
    assert(payer && "the team was found in the same configuration");
    const std::uint64_t stated = std::uint64_t{m_facts.promptTokens} + m_facts.maxOutputTokens;
    const std::uint64_t cost = quotaCost(*payer, m_facts.statesTokens ? std::optional(stated) : std::nullopt);
    team_usage &usage = m_gateway.m_teamUsage[*m_team];
    team_quotas &quotas = m_gateway.m_quotas;
    if (quotas.take(m_arrivedAt, *m_team, cost)) {
        m_cost = cost;
        usage.admitted += 1;
        usage.cost += cost;
        m_gateway.notifyInFlightChanged();
        return true;
    }
    usage.overQuota += 1;
    const milliseconds retryAfter = quotas.timeUntil(m_arrivedAt, *m_team, cost);
    header_list headers;
    m_gateway.m_dialect.writeRetryAfter(headers, retryAfter);
    deny(statusOverQuota,
         std::move(headers),
         log_line("over-quota", m_facts.id)
             .with("team", *m_team)
             .with("cost", cost)
             .with("credit", static_cast<std::int64_t>(quotas.credit(m_arrivedAt, *m_team).value_or(0)))
             .with("share-permille", static_cast<std::int64_t>(permille * quotas.share()))
             .with("retry-after-ms", retryAfter));
    return false;
}

void exchange::refundTeam()
{
    if (m_cost > 0) {
        m_gateway.m_quotas.giveBack(loopNow(), *m_team, std::exchange(m_cost, 0));
        m_gateway.notifyInFlightChanged();
    }
}

} // namespace fuchsialoom
