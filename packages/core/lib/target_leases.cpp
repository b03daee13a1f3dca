/// \file
/// Leases that a VM keeps for targets.
#include "fuchsialoom/core/target_leases.h"

#include "fuchsialoom/support/hash.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <vector>

namespace fuchsialoom
{

/// More targets than a domain has; what peers name is not trusted.
static constexpr std::size_t mostHeld = 10000;
/// A request whose lease would end sooner than this can't wait for others (bench_poison).
static constexpr seconds nearDeadline{10};
/// A poison request usually kills its target well within this time.
static constexpr seconds yieldAfter{2};

vm_id keeperOf(const target_id &target, std::span<const vm_id> vms, const vm_id &self)
{
    if (vms.empty()) {
        return self;
    }
    std::vector<std::string> names;
    std::transform(vms.begin(), vms.end(), std::back_inserter(names), [](const vm_id &vm) {
        return vm.text();
    });
    return vms[rendezvous(target.text(), names, 1).front()];
}

bool target_leases::mustYield(instant now, const held_lease &held, const target_lease &wanted)
{
    return wanted.until > now && wanted.until < now + nearDeadline && held.since + yieldAfter <= now;
}

bool target_leases::take(instant now, const target_lease &wanted)
{
    std::erase_if(m_held, [now](const auto &one) {
        return one.second.lease.until <= now;
    });
    const auto held = m_held.find(wanted.target);
    const bool isOthers =
        held != m_held.end() && (held->second.lease.holder != wanted.holder || held->second.lease.request != wanted.request);
    if (isOthers && !mustYield(now, held->second, wanted)) {
        return false;
    }
    if (wanted.until <= now) {
        m_held.erase(wanted.target);
        return false;
    }
    if (held == m_held.end() && m_held.size() >= mostHeld) {
        return false;
    }
    m_held.insert_or_assign(wanted.target, held_lease{wanted, now});
    return true;
}

void target_leases::forget(const vm_id &vm)
{
    std::erase_if(m_held, [&](const auto &one) {
        return one.second.lease.holder == vm;
    });
}

} // namespace fuchsialoom
