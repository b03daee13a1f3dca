/// \file
/// Retries.
#include "fuchsialoom/gateway/retry_rules.h"

#include <algorithm>

namespace fuchsialoom
{

/// Targets that refuse connections cost a millisecond each; after so many the caller is told to come back.
static constexpr std::uint32_t maxConnectFailures = 4;
/// The window is counted in so many buckets.
static constexpr int bucketsPerWindow = 20;
/// Of the shared fixed number, what the VMs take together: the rest covers that they disagree on how
/// many live, and the edges of buckets.
static constexpr double usableShare = 0.7;

retry_step nextStep(attempt_outcome outcome, const attempt_history &history, bool budget)
{
    const bool attemptsLeft = history.targetsTried < history.attempts;
    switch (outcome) {
    case attempt_outcome::NotSent:
        if (history.connectFailures < maxConnectFailures) {
            return retry_step::TryElsewhere;
        }
        break;
    case attempt_outcome::NotRun:
        if (attemptsLeft && budget) {
            return retry_step::TryElsewhere;
        }
        break;
    case attempt_outcome::Failed:
        return history.repeatable && attemptsLeft && budget ? retry_step::TryElsewhere : retry_step::PassOn;
    case attempt_outcome::Broken:
    case attempt_outcome::Silent:
        return history.repeatable && attemptsLeft && budget ? retry_step::TryElsewhere : retry_step::Fail;
    }
    return history.mayHaveRun ? retry_step::Fail : retry_step::Refuse;
}

void shared_retry_budget::setLimits(limits allowed)
{
    m_limits = allowed;
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

bool shared_retry_budget::allows(instant now)
{
    current(now);
    double requests = 0;
    double retries = 0;
    for (const bucket &one : m_buckets) {
        requests += one.requests;
        retries += one.retries;
    }
    // All of the ratio can't be spent: the requests of this window are counted as they come, the
    // repeats of any window that slides over them as well.
    const double allowed = usableShare * (m_limits.ratio * requests + m_limits.slack / static_cast<double>(m_vms));
    return retries + 1 <= allowed;
}

} // namespace fuchsialoom
