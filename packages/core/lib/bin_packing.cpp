/// \file
/// Depth-first bin packing: the first path down the search tree is best fit in decreasing order.
#include "fuchsialoom/core/bin_packing.h"

#include <algorithm>
#include <numeric>

namespace fuchsialoom
{

namespace
{

class packing_search
{
public:
    packing_search(const std::vector<packing_item> &items, const std::vector<std::uint64_t> &bins, std::size_t budget)
        : m_items(items)
        , m_free(bins)
        , m_order(items.size())
        , m_bins(items.size())
        , m_budget(budget)
    {
        std::iota(m_order.begin(), m_order.end(), std::size_t{0});
        std::ranges::stable_sort(m_order, std::ranges::greater(), [this](std::size_t item) {
            return m_items[item].size;
        });
    }

    std::optional<std::vector<std::size_t>> run(bool usePreferences)
    {
        m_usePreferences = usePreferences;
        if (!place(0)) {
            return std::nullopt;
        }
        return m_bins;
    }

private:
    /// Places the items from \p depth on; leaves m_free as it was when that fails.
    bool place(std::size_t depth)
    {
        if (depth == m_order.size()) {
            return true;
        }
        const std::size_t item = m_order[depth];
        std::optional<std::uint64_t> triedSpace;
        for (const std::size_t bin : binsFor(item)) {
            // Bins with equal space are alike unless items prefer some of them.
            if (!m_usePreferences && triedSpace == m_free[bin]) {
                continue;
            }
            if (m_budget == 0) {
                return false;
            }
            --m_budget;
            triedSpace = m_free[bin];
            m_bins[item] = bin;
            m_free[bin] -= m_items[item].size;
            if (place(depth + 1)) {
                return true;
            }
            m_free[bin] += m_items[item].size;
        }
        return false;
    }

    /// Bins with room, the preferred one first, then the tightest.
    std::vector<std::size_t> binsFor(std::size_t item) const
    {
        std::vector<std::size_t> bins;
        for (std::size_t bin = 0; bin < m_free.size(); ++bin) {
            if (m_free[bin] >= m_items[item].size) {
                bins.push_back(bin);
            }
        }
        std::ranges::stable_sort(bins, {}, [this](std::size_t bin) {
            return m_free[bin];
        });
        if (m_usePreferences && m_items[item].preferred) {
            std::stable_partition(bins.begin(), bins.end(), [&](std::size_t bin) {
                return bin == *m_items[item].preferred;
            });
        }
        return bins;
    }

    const std::vector<packing_item> &m_items;
    std::vector<std::uint64_t> m_free;
    std::vector<std::size_t> m_order; ///< items by decreasing size
    std::vector<std::size_t> m_bins; ///< valid for the items already placed
    std::size_t m_budget;
    bool m_usePreferences = false;
};

} // namespace

std::optional<std::vector<std::size_t>>
packAll(const std::vector<packing_item> &items, const std::vector<std::uint64_t> &bins, std::size_t budget)
{
    // Preferences spare moves but can lead the search astray; half the budget is kept for doing without.
    if (auto packed = packing_search(items, bins, budget / 2).run(true)) {
        return packed;
    }
    return packing_search(items, bins, budget - budget / 2).run(false);
}

} // namespace fuchsialoom
