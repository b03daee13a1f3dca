/// \file
/// Bounded exponential backoff.
#include "fuchsialoom/core/backoff.h"

#include "fuchsialoom/support/hash.h"

#include <algorithm>
#include <string>

namespace fuchsialoom
{

static constexpr std::uint32_t mostDoublings = 16;
static constexpr std::uint64_t jitterSteps = 1000;

backoff::backoff(backoff_limits limits, std::uint64_t seed)
    : m_limits(limits)
    , m_seed(seed)
{
}

instant backoff::failed(instant now)
{
    const microseconds doubled = microseconds(m_limits.shortest) * (1U << std::min(m_failures, mostDoublings));
    const microseconds full = std::min<microseconds>(doubled, m_limits.longest);
    ++m_failures;
    // Between half and all of the full delay, so that VMs that failed together don't return together.
    const std::uint64_t spread = hashOf(std::to_string(m_failures), m_seed).value() % jitterSteps;
    const auto jitter = static_cast<microseconds::rep>(full.count() / 2 * static_cast<microseconds::rep>(spread) / jitterSteps);
    return now + full / 2 + microseconds(jitter);
}

void backoff::succeeded()
{
    m_failures = 0;
}

} // namespace fuchsialoom
