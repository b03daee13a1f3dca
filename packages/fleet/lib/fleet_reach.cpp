/// \file
/// How much of the fleet a VM can reach, and so which share of the teams' quotas it may use.
#include "fuchsialoom/fleet/fleet_node.h"

#include "fuchsialoom/fleet/pacing.h"

#include <algorithm>

namespace fuchsialoom
{

/// A sender counts as out of reach after this time without a message, or after as many of its intervals.
static constexpr milliseconds minReachTimeout{450};
static constexpr int missedReportLimit = 3;

/// Tighter than the suspect timeouts: VMs out of reach of each other overspend a quota until they notice.
static bool isWithinReach(instant now, instant heardAt, milliseconds nextWithin)
{
    return now - heardAt <= std::max(minReachTimeout, missedReportLimit * nextWithin);
}

std::size_t fleet_node::reachedVms(instant now) const
{
    std::size_t reached = 1;
    for (const auto &[vm, member] : m_members) {
        reached += isWithinReach(now, member.heardAt, member.nextWithin) ? 1 : 0;
    }
    for (const auto &[vm, peer] : m_relays) {
        reached += peer.live && isWithinReach(now, peer.heardAt, std::min(peer.nextWithin, pacing::heartbeatInterval)) ? peer.vms : 0;
    }
    // A member that changes its relay is briefly counted by both.
    return std::min(reached, std::max<std::size_t>(1, m_membership.size()));
}

void fleet_node::updateReach(instant now)
{
    if (!m_reach) {
        m_reach.emplace(now);
    }
    const std::size_t registered = m_membership.size();
    if (m_relaySelection.isRelay()) {
        const std::size_t reached = reachedVms(now);
        m_quotas.setReach(now, m_reach->update(now, reached, registered), reached == 1 && registered > 1);
    } else if (!isWithinReach(now, m_relayHeardAt, m_relayNextWithin)) {
        m_quotas.setReach(now, 1.0 / static_cast<double>(std::max<std::size_t>(1, registered)), true);
    }
}

} // namespace fuchsialoom
