/// \file
/// Bounded exponential backoff with jitter from a seed, so that it can be replayed.
#pragma once

#include "fuchsialoom/support/time.h"

#include <cstdint>

namespace fuchsialoom
{

struct backoff_limits
{
    milliseconds shortest{100};
    milliseconds longest{1000};
};

class backoff
{
public:
    backoff(backoff_limits limits, std::uint64_t seed);

    /// Notes a failure at \p now. \return when to try again: never later than `longest` from \p now.
    instant failed(instant now);
    void succeeded();

private:
    backoff_limits m_limits;
    std::uint64_t m_seed;
    std::uint32_t m_failures = 0; ///< in a row
};

} // namespace fuchsialoom
