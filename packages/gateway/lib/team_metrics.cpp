/// \file
/// Metrics by team. The number of series is bounded by the teams of the configuration.
#include "fuchsialoom/gateway/gateway.h"

#include <functional>

namespace fuchsialoom
{

namespace
{

struct team_series
{
    std::string_view name;
    std::string_view type;
    std::string_view help;
};

/// Team names are the operator's, so quotes and line breaks in them are escaped.
std::string escaped(const std::string &label)
{
    std::string text;
    for (const char letter : label) {
        if (letter == '\n') {
            text.append("\\n");
            continue;
        }
        if (letter == '"' || letter == '\\') {
            text.push_back('\\');
        }
        text.push_back(letter);
    }
    return text;
}

void appendSeries(std::string &text,
                  const team_series &series,
                  const std::vector<team> &teams,
                  const std::function<std::optional<std::int64_t>(const team &)> &valueOf)
{
    text.append("# HELP ").append(series.name).append(" ").append(series.help).append("\n");
    text.append("# TYPE ").append(series.name).append(" ").append(series.type).append("\n");
    for (const team &one : teams) {
        if (const std::optional<std::int64_t> value = valueOf(one)) {
            text.append(series.name).append("{team=\"").append(escaped(one.id.text())).append("\"} ");
            text.append(std::to_string(*value)).append("\n");
        }
    }
}

} // namespace

std::string gateway::teamMetrics() const
{
    std::string text;
    const std::vector<team> &teams = m_teams.teams();
    if (teams.empty()) {
        return text;
    }
    const instant now = loopNow();
    const auto usageOf = [this](const team &one) -> const team_usage & {
        return m_teamUsage.at(one.id);
    };
    appendSeries(text, {"fuchsialoom_team_admitted_total", "counter", "requests admitted"}, teams, [&](const team &one) {
        return std::optional(static_cast<std::int64_t>(usageOf(one).admitted));
    });
    appendSeries(text, {"fuchsialoom_team_over_quota_total", "counter", "requests refused over the quota"}, teams, [&](const team &one) {
        return std::optional(static_cast<std::int64_t>(usageOf(one).overQuota));
    });
    appendSeries(text, {"fuchsialoom_team_cost_total", "counter", "cost of the admitted requests"}, teams, [&](const team &one) {
        return std::optional(static_cast<std::int64_t>(usageOf(one).cost));
    });
    appendSeries(text, {"fuchsialoom_team_credit", "gauge", "credit left over all VMs, as this one believes"}, teams, [&](const team &one) {
        const std::optional<double> credit = m_quotas.credit(now, one.id);
        return credit ? std::optional(static_cast<std::int64_t>(*credit)) : std::nullopt;
    });
    return text;
}

} // namespace fuchsialoom
