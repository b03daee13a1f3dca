/// \file
/// Packs items into bins of given sizes: best fit in decreasing order, then a search with a bound on
/// its work. Equal input gives an equal result.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace fuchsialoom
{

struct packing_item
{
    std::uint64_t size = 0;
    std::optional<std::size_t> preferred; ///< bin that is tried first
};

/// Bins that the search may try in all before it gives up.
inline constexpr std::size_t defaultPackingBudget = 50'000;

/// The bin of each item, or nothing where no packing was found. Within the budget the search is
/// complete: nothing then means that there is none.
std::optional<std::vector<std::size_t>>
packAll(const std::vector<packing_item> &items, const std::vector<std::uint64_t> &bins, std::size_t budget = defaultPackingBudget);

} // namespace fuchsialoom
