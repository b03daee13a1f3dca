/// \file
/// Ranking of VMs.
#include "fuchsialoom/fleet/roster.h"

#include "fuchsialoom/support/hash.h"

#include <algorithm>
#include <tuple>

namespace fuchsialoom
{

/// In a fleet of up to so many VMs each one relays for itself: words then take one hop.
static constexpr std::size_t smallFleet = 16;
/// Relays of all domains together, beyond the least number in each domain.
static constexpr std::size_t relaysInAll = 12;
/// A domain has at least so many, so that it has one while another is being replaced.
static constexpr std::size_t leastRelays = 2;
static constexpr std::size_t mostRelaysByShare = 4;
/// VMs that one relay speaks for at most; domains with more VMs have more relays.
static constexpr std::size_t mostMembers = 32;

bool roster::put(vm_record record)
{
    const auto found = m_records.find(record.vm);
    if (found != m_records.end()) {
        if (found->second == record) {
            return false;
        }
        const domain_id before = found->second.domain;
        std::erase_if(m_ranked[before], [&record](const vm_record &one) {
            return one.vm == record.vm;
        });
        if (m_ranked[before].empty()) {
            m_ranked.erase(before);
        }
    }
    std::vector<vm_record> &members = m_ranked[record.domain];
    members.push_back(record);
    std::ranges::sort(members, {}, [](const vm_record &one) {
        return std::tuple(-static_cast<std::int64_t>(one.capacity), hashOf(one.vm.text()), one.vm);
    });
    m_records.insert_or_assign(record.vm, std::move(record));
    return true;
}

const vm_record *roster::find(const vm_id &vm) const
{
    const auto found = m_records.find(vm);
    return found == m_records.end() ? nullptr : &found->second;
}

std::vector<domain_id> roster::domains() const
{
    std::vector<domain_id> names;
    for (const auto &[domain, members] : m_ranked) {
        names.push_back(domain);
    }
    return names;
}

const std::vector<vm_record> &roster::ranked(const domain_id &domain) const
{
    static const std::vector<vm_record> nobody;
    const auto members = m_ranked.find(domain);
    return members == m_ranked.end() ? nobody : members->second;
}

std::size_t roster::relayCount(const domain_id &domain) const
{
    const std::vector<vm_record> &all = ranked(domain);
    const std::size_t members = all.size();
    if (m_records.size() <= smallFleet) {
        return members;
    }
    const std::size_t byShare = std::clamp(relaysInAll / m_ranked.size(), leastRelays, mostRelaysByShare);
    const std::size_t byMembers = (members + mostMembers - 1) / mostMembers;
    // A weak VM isn't taken beside strong ones for the share's sake.
    const auto strong = static_cast<std::size_t>(std::ranges::count_if(all, [&all](const vm_record &one) {
        return 2 * one.capacity >= all.front().capacity;
    }));
    return std::min(members, std::max({leastRelays, std::min(byShare, strong), byMembers}));
}

std::vector<vm_record> roster::relaysOf(const domain_id &domain) const
{
    std::vector<vm_record> relays = ranked(domain);
    relays.resize(relayCount(domain));
    return relays;
}

} // namespace fuchsialoom
