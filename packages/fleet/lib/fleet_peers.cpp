/// \file
/// Which other VMs are heard, and which of them may serve requests of this one.
#include "fuchsialoom/fleet/fleet_node.h"

#include "fuchsialoom/support/hash.h"

#include <algorithm>
#include <iterator>

namespace fuchsialoom
{

std::vector<vm_record> fleet_node::liveRelays() const
{
    std::vector<vm_record> live;
    for (const auto &[vm, peer] : m_relays) {
        const vm_record *record = m_membership.find(vm);
        if (peer.live && record) {
            live.push_back(*record);
        }
    }
    return live;
}

std::vector<vm_record> fleet_node::relaysToAsk() const
{
    std::vector<vm_record> relays;
    if (m_relaySelection.isRelay()) {
        relays = liveRelays();
    } else {
        for (const domain_id &domain : m_membership.domains()) {
            std::ranges::move(m_membership.relaysOf(domain), std::back_inserter(relays));
        }
    }
    if (!relays.empty()) {
        const auto first = static_cast<std::ptrdiff_t>(hashOf(m_self.vm.text()).value() % relays.size());
        std::rotate(relays.begin(), relays.begin() + first, relays.end());
    }
    return relays;
}

std::vector<vm_record> fleet_node::heardOrRegistered() const
{
    std::vector<vm_record> heard = liveRelays();
    for (const auto &[vm, member] : m_members) {
        if (const vm_record *record = m_membership.find(vm)) {
            heard.push_back(*record);
        }
    }
    if (m_relaySelection.isRelay() && 2 * (heard.size() + 1) >= m_membership.size()) {
        return heard;
    }
    std::vector<vm_record> registered;
    for (const auto &[vm, record] : m_membership.records()) {
        const auto relay = m_relays.find(vm);
        if (vm != m_self.vm && (relay == m_relays.end() || relay->second.live)) {
            registered.push_back(record);
        }
    }
    return registered;
}

std::vector<fleet_peer> fleet_node::peers() const
{
    std::vector<fleet_peer> peers;
    for (vm_record &record : heardOrRegistered()) {
        const bool hasPath = !m_pathReports.contains(record.vm);
        peers.push_back({std::move(record), hasPath});
    }
    return peers;
}

void fleet_node::applyPathReport(instant now, const vm_id &source, const std::vector<vm_key> &withoutPath)
{
    if (m_pathReports.put(source, withoutPath)) {
        scheduleEarlyDigest(now);
    }
}

void fleet_node::applyBrittleReport(instant now, const vm_id &source, const std::vector<service_id> &services)
{
    if (m_brittleReports.put(source, services)) {
        m_events.onBrittleServices(m_brittleReports.all());
        scheduleEarlyDigest(now);
    }
}

} // namespace fuchsialoom
