/// \file
/// Content hashes and rendezvous hashing.
#include "fuchsialoom/support/hash.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <numeric>

namespace fuchsialoom
{

content_hash hashOf(std::string_view bytes, std::uint64_t seed)
{
    return content_hash(XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed));
}

std::vector<std::size_t> rendezvous(std::string_view item, std::span<const std::string> members, std::size_t count)
{
    const std::uint64_t itemHash = hashOf(item).value();
    std::vector<std::uint64_t> weights;
    weights.reserve(members.size());
    for (const std::string &member : members) {
        weights.push_back(hashOf(member, itemHash).value());
    }
    std::vector<std::size_t> order(members.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    const std::size_t kept = std::min(count, order.size());
    std::partial_sort(
        order.begin(), order.begin() + static_cast<std::ptrdiff_t>(kept), order.end(), [&](std::size_t left, std::size_t right) {
            return weights[left] > weights[right];
        });
    order.resize(kept);
    return order;
}

} // namespace fuchsialoom
