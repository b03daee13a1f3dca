/// \file
/// Limits retries to a share of first attempts.
#include "fuchsialoom/core/retry_budget.h"

#include <algorithm>

namespace fuchsialoom
{

/// While below the floor, one retry comes back this often.
static constexpr milliseconds floorRefillEvery{1000};

void retry_budget::payIn(std::uint32_t percent)
{
    m_tokens = std::min(m_tokens + percent * onePercent, most);
}

void retry_budget::refillFloor(instant now)
{
    const std::int64_t refills = (now - m_floorAt) / floorRefillEvery;
    m_floorAt += refills * floorRefillEvery;
    if (m_tokens < floorRetries) {
        const std::int64_t wanted = m_tokens + std::min<std::int64_t>(refills, floorRetries) * oneRetry;
        m_tokens = static_cast<std::uint32_t>(std::min<std::int64_t>(wanted, floorRetries));
    }
}

bool retry_budget::has(instant now, std::uint32_t percent)
{
    refillFloor(now);
    return percent > 0 && m_tokens >= oneRetry;
}

bool retry_budget::take(instant now, std::uint32_t percent)
{
    if (!has(now, percent)) {
        return false;
    }
    m_tokens -= oneRetry;
    return true;
}

} // namespace fuchsialoom
