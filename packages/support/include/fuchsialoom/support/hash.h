/// \file
/// Content hashes and rendezvous hashing, both over XXH3.
#pragma once

#include "fuchsialoom/support/ids.h"

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace fuchsialoom
{

/// XXH3-64 of \p bytes; equal on every machine.
content_hash hashOf(std::string_view bytes, std::uint64_t seed = 0);

/// Indices into \p members of the \p count highest rendezvous weights for \p item, best first.
/// Members must be distinct. A member's going moves only the items that it held.
std::vector<std::size_t> rendezvous(std::string_view item, std::span<const std::string> members, std::size_t count);

} // namespace fuchsialoom
