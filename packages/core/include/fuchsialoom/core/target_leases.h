/// \file
/// Leases that a VM keeps for targets, so that accused requests of several VMs are retried apart from each
/// other. A target's keeper is chosen by rendezvous among the VMs of the domain, as each of them sees it.
/// Where they disagree, or a keeper restarts, two leases of one target can hold; that may cost an innocent
/// request its retry, and never more targets: the count of dead targets rests on accusations alone.
#pragma once

#include "fuchsialoom/core/targets.h"

#include <map>
#include <span>

namespace fuchsialoom
{

/// A wish to hold the lease of \c target until then.
struct target_lease
{
    target_id target;
    vm_id holder;
    request_id request;
    instant until; ///< not later than now: the holder gives it back

    friend bool operator==(const target_lease &, const target_lease &) = default;
};

/// The keeper of \p target's lease among \p vms, which must be distinct. \return \p self when there is none.
vm_id keeperOf(const target_id &target, std::span<const vm_id> vms, const vm_id &self);

class target_leases
{
public:
    /// Grants the lease where nobody else holds it, or where waiting for its end would cost \p wanted its
    /// deadline and the holder had time to show whether it kills the target. The holder itself can move the
    /// end either way, so asking twice does no harm. \return whether \p wanted is held now.
    bool take(instant now, const target_lease &wanted);

    /// \p vm is gone, and its attempts with it.
    void forget(const vm_id &vm);

    std::size_t held() const
    {
        return m_held.size();
    }

private:
    struct held_lease
    {
        target_lease lease;
        instant since; ///< when its holder last asked
    };

    static bool mustYield(instant now, const held_lease &held, const target_lease &wanted);

    std::map<target_id, held_lease> m_held; ///< ended ones go with the next take()
};

} // namespace fuchsialoom
