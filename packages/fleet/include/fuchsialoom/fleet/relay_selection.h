/// \file
/// Selects the relay of this VM, or makes this VM a relay. Sans-I/O.
///
/// The first VMs in the ranking of a failure domain are its relays. A member whose relay becomes silent selects the next VM
/// in the ranking, and any VM that is requested to relay does so: no VM has to know which others are alive.
#pragma once

#include "fuchsialoom/fleet/membership_view.h"
#include "fuchsialoom/support/time.h"

#include <map>
#include <optional>
#include <vector>

namespace fuchsialoom
{

class relay_selection
{
public:
    relay_selection(vm_id self, domain_id domain);

    /// A message of \p relay to its members arrived; the next one is due within \p nextWithin.
    void onRelayHeard(instant now, const vm_id &relay, milliseconds nextWithin);
    /// Sets the relays of the domain that are known to be alive.
    void setLiveRelays(std::vector<vm_id> relays);
    /// \p relay is stopping, so that the next update() selects another one.
    void onRelayLeaving(instant now, const vm_id &relay);
    /// Another VM requested this one as its relay.
    void onRelayRequest(instant now);
    /// No VM uses this one as its relay any more.
    void clearRelayRequests();

    /// Must be called before each use of the functions below. \p keepRelaying: this VM stays a relay, whatever its rank.
    void update(instant now, const membership_view &membership, bool keepRelaying);

    bool isRelay() const
    {
        return m_isRelay;
    }
    /// This VM's relay; nothing while this VM is a relay itself.
    const std::optional<vm_id> &relay() const
    {
        return m_relay;
    }
    /// Whether the relay has answered and is within its suspect timeout.
    bool isServed(instant now) const
    {
        return m_relay && m_served && now < m_silentAt;
    }

private:
    void selectFromRanking(instant now, const std::vector<vm_record> &ranked, std::size_t count);
    void switchToPreferred(instant now, const std::vector<vm_record> &ranked, std::size_t count);
    void selectRelay(instant now, const vm_id &relay);

    const vm_id m_self;
    const domain_id m_domain;
    bool m_isRelay = true;
    std::optional<vm_id> m_relay;
    bool m_served = false; ///< m_relay has answered since it was selected
    instant m_silentAt{}; ///< end of the suspect timeout of m_relay
    instant m_requestedUntil{};
    std::vector<vm_id> m_liveRelays; ///< relays of the domain, as last reported by this VM's relay
    std::map<vm_id, instant> m_avoided; ///< silent or stopping relays that are not to be selected, with the end of that period
};

} // namespace fuchsialoom
