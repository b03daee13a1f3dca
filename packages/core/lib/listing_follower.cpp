/// \file
/// Which list of VMs and targets this VM goes by.
#include "fuchsialoom/core/listing_follower.h"

#include <algorithm>

namespace fuchsialoom
{

/// Each round of an outage asks so many peers: a list of the design's size has some 300 KB.
static constexpr std::size_t peersAsked = 2;

listing_actions listing_follower::step(instant now, const listing_event &event)
{
    return std::visit(
        [&](const auto &what) {
            return handle(now, what);
        },
        event);
}

listing_actions listing_follower::adopt(instant now, const dated_listing &list)
{
    if (m_latest && m_latest->content == list.content) {
        return handle(now, peer_confirmed{list.content, list.takenAt, list.takenBy});
    }
    const instant takenAt = std::min(list.takenAt, now);
    if (m_latest && takenAt < m_latest->takenBy) {
        return {};
    }
    m_latest = list;
    m_latest->takenAt = takenAt;
    m_latest->takenBy = std::min(list.takenBy, now);
    return listing_actions{{}, true};
}

listing_actions listing_follower::handle(instant now, const platform_listed &event)
{
    return adopt(now, event.list);
}

listing_actions listing_follower::handle(instant now, const peer_listed &event)
{
    return adopt(now, event.list);
}

listing_actions listing_follower::handle(instant now, const peer_confirmed &event)
{
    if (m_latest && m_latest->content == event.content) {
        m_latest->takenAt = std::max(m_latest->takenAt, std::min(event.takenAt, now));
        m_latest->takenBy = std::max(m_latest->takenBy, std::min(event.takenBy, now));
    }
    return {};
}

/// One of each group where both have some: a whole domain may be cut off from the platform.
listing_actions listing_follower::handle(instant, const platform_silent &event)
{
    listing_actions actions;
    const std::size_t known = event.near.size() + event.far.size();
    std::size_t turn = m_turn;
    while (actions.ask.size() < std::min(peersAsked, known)) {
        const bool useNear = event.far.empty() || (!event.near.empty() && actions.ask.empty());
        const std::vector<vm_id> &group = useNear ? event.near : event.far;
        const vm_id &peer = group[turn % group.size()];
        if (std::find(actions.ask.begin(), actions.ask.end(), peer) == actions.ask.end()) {
            actions.ask.push_back(peer);
        }
        ++turn;
    }
    ++m_turn;
    return actions;
}

} // namespace fuchsialoom
