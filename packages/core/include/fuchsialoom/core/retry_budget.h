/// \file
/// Limits retries to a share of first attempts, so that retries can't multiply an overload.
#pragma once

#include "fuchsialoom/support/time.h"

#include <cstdint>

namespace fuchsialoom
{

/// A token bucket: each first attempt pays in a share of a retry. A small floor refills with time, so
/// that a service with little traffic can retry too.
class retry_budget
{
public:
    void payIn(std::uint32_t percent);

    /// Whether there is a retry to take out. A share of 0 allows no retry at all.
    bool has(instant now, std::uint32_t percent);

    /// Takes one retry out. \return false when there is none.
    bool take(instant now, std::uint32_t percent);

private:
    static constexpr std::uint32_t onePercent = 10; ///< thousandths of a retry
    static constexpr std::uint32_t oneRetry = 1000;
    static constexpr std::uint32_t most = 50 * oneRetry;
    static constexpr std::uint32_t floorRetries = 3 * oneRetry;

    void refillFloor(instant now);

    std::uint32_t m_tokens = floorRetries; ///< thousandths of a retry, at most `most`
    instant m_floorAt{}; ///< up to when the floor was refilled
};

} // namespace fuchsialoom
