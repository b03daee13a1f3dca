/// \file
/// Retry decisions and the shared retry budget.
#include "fuchsialoom/gateway/retry_rules.h"

#include <algorithm>

namespace fuchsialoom
{

static constexpr int bucketsPerWindow = 20;
/// Share of the limit that the VMs use; the rest covers their differing views of the number of live VMs, and the
/// resolution of the buckets.
static constexpr double usableShare = 0.7;
/// The same for the slack in the first window after a start. The sum of both is below 1.
static constexpr double usableShareAfterStart = 0.2;

retry_step nextStep(attempt_outcome outcome, const attempt_history &history, bool budgetAllows)
{
    if (history.otherInProgress) {
        return retry_step::LeaveToOther;
    }
    const bool attemptsLeft = history.targetsTried < history.attempts;
    switch (outcome) {
    case attempt_outcome::NotSent:
        if (history.connectFailures < maxConnectFailures) {
            return retry_step::TryElsewhere;
        }
        break;
    case attempt_outcome::Declined:
        return retry_step::TryElsewhere; // nobody is asked twice within a while, so this ends when all have declined
    case attempt_outcome::NotRun:
        if (attemptsLeft && budgetAllows) {
            return retry_step::TryElsewhere;
        }
        // The successor of a silent target has refused after that was given up. It is no further target.
        if (history.gaveUpSilent && history.repeatable && budgetAllows) {
            return retry_step::ReturnToSilent;
        }
        break;
    case attempt_outcome::Failed:
        return history.repeatable && attemptsLeft && budgetAllows ? retry_step::TryElsewhere : retry_step::PassOn;
    case attempt_outcome::Broken:
    case attempt_outcome::Silent:
        return history.repeatable && attemptsLeft && budgetAllows ? retry_step::TryElsewhere : retry_step::Fail;
    }
    return history.mayHaveRun ? retry_step::Fail : retry_step::Refuse;
}

void shared_retry_budget::setLimits(limits allowed, instant startedAt)
{
    m_limits = allowed;
    m_fullSlackFrom = startedAt + allowed.window;
}

void shared_retry_budget::setLiveVmCount(std::size_t live)
{
    m_vms = std::max<std::size_t>(1, live);
}

shared_retry_budget::bucket &shared_retry_budget::current(instant now)
{
    const auto length = m_limits.window / bucketsPerWindow;
    while (!m_buckets.empty() && now - m_buckets.front().from > m_limits.window + length) {
        m_buckets.pop_front();
    }
    if (m_buckets.empty() || now - m_buckets.back().from >= length) {
        m_buckets.push_back({now, 0, 0});
    }
    return m_buckets.back();
}

void shared_retry_budget::countRequest(instant now)
{
    current(now).requests += 1;
}

void shared_retry_budget::countRetry(instant now)
{
    current(now).retries += 1;
}

void shared_retry_budget::returnRetry(instant countedAt)
{
    const auto found = std::ranges::find_if(m_buckets.rbegin(), m_buckets.rend(), [countedAt](const bucket &one) {
        return one.from <= countedAt;
    });
    if (found != m_buckets.rend() && found->retries > 0) {
        found->retries -= 1;
    }
}

bool shared_retry_budget::allows(instant now)
{
    current(now);
    double requests = 0;
    double retries = 0;
    for (const bucket &counted : m_buckets) {
        requests += counted.requests;
        retries += counted.retries;
    }
    const double slackShare = now < m_fullSlackFrom ? usableShareAfterStart : usableShare;
    // usableShare applies to the ratio as well: requests count as they arrive, and the limit has to hold for every
    // window that slides over the retries.
    const double allowed = usableShare * m_limits.ratio * requests + slackShare * m_limits.slack / static_cast<double>(m_vms);
    return retries + 1 <= allowed;
}

} // namespace fuchsialoom
