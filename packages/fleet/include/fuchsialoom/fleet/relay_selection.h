/// \file
/// Which VM relays for this one, or that this VM relays itself. Sans-I/O.
///
/// The first VMs of a domain's ranking relay. A member whose relay falls silent takes the next one of the ranking, and
/// whoever is asked relays: no VM has to know which others are alive.
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

    /// A word of \p relay for its members came; the next one comes within \p due.
    void onRelayHeard(instant now, const vm_id &relay, milliseconds nextWithin);
    /// The relays of the domain that are known to live.
    void setLiveRelays(std::vector<vm_id> relays);
    /// \p relay stops: another one is to be taken at once.
    void leaving(instant now, const vm_id &relay);
    /// Another VM sent its words here, to be relayed.
    void onRelayRequest(instant now);
    /// Nobody's words come here any more.
    void clearRelayRequests();

    /// To be called before each use of what follows. \p keepRelaying: this VM is needed as a relay, whatever its rank.
    void update(instant now, const membership_view &membership, bool keepRelaying);

    bool isRelay() const
    {
        return m_isRelay;
    }
    /// The VM that relays for this one; nothing while this VM relays itself.
    const std::optional<vm_id> &relay() const
    {
        return m_relay;
    }
    /// Whether the relay has answered and isn't silent.
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
    bool m_served = false; ///< by m_relay, since it was chosen
    instant m_silentAt{}; ///< m_relay counts as gone from here on, unless it is heard before
    instant m_requestedUntil{};
    std::vector<vm_id> m_liveRelays; ///< relays of the domain, as the relay told last
    std::map<vm_id, instant> m_avoided; ///< relays that fell silent or stop, and until when
};

} // namespace fuchsialoom
