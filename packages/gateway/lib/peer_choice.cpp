/// \file
/// Implements the choice of a peer.
#include "fuchsialoom/gateway/peer_choice.h"

#include <algorithm>
#include <utility>

namespace fuchsialoom
{

/// A peer that declined is asked again after this: it may have lost its path as well, and regains it within a second or so.
static constexpr milliseconds declineAvoidance{1000};
/// Weight of another failure domain, in requests: traffic between domains is charged for.
static constexpr double foreignDomainCost = 0.5;

peer_choice::peer_choice(domain_id ownDomain)
    : m_ownDomain(std::move(ownDomain))
{
}

std::optional<serving_peer> peer_choice::choose(instant now, const std::vector<serving_peer> &peers, std::uint64_t draw) const
{
    std::optional<serving_peer> best;
    double bestScore = 0;
    std::uint64_t state = draw;
    for (const serving_peer &one : peers) {
        const auto known = m_peers.find(one.vm);
        if (!one.hasPath || (known != m_peers.end() && now < known->second.avoidUntil)) {
            continue;
        }
        state = state * 6364136223846793005ULL + 1442695040888963407ULL;
        const double open = known == m_peers.end() ? 0 : known->second.open;
        const double spread = static_cast<double>(state >> 33 & 1023) / 1024;
        const double load = open + (one.domain == m_ownDomain ? 0 : foreignDomainCost) + spread;
        const double score = load / std::max<std::uint32_t>(1, one.capacity);
        if (!best || score < bestScore) {
            best = one;
            bestScore = score;
        }
    }
    return best;
}

void peer_choice::begin(const vm_id &peer)
{
    m_peers[peer].open += 1;
}

void peer_choice::end(const vm_id &peer)
{
    const auto known = m_peers.find(peer);
    if (known != m_peers.end() && known->second.open > 0) {
        known->second.open -= 1;
    }
}

void peer_choice::avoid(instant now, const vm_id &peer)
{
    m_peers[peer].avoidUntil = now + declineAvoidance;
}

} // namespace fuchsialoom
