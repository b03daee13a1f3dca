/// \file
/// Numbers that holding requests back and quarantining them have in common.
#pragma once

#include <cstddef>

namespace fuchsialoom
{

/// Deaths after which a request is held back. One may be chance; the retry of a request that died with its target meets a
/// second only in a wave of crashes, or if it is the cause.
inline constexpr std::size_t deathsToSuspect = 2;
/// Trials that broke off after which a request is quarantined, however likely chance is.
inline constexpr std::size_t brokenTrialsToQuarantine = 2;

} // namespace fuchsialoom
