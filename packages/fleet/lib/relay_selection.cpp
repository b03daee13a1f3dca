/// \file
/// The choice of a relay.
#include "fuchsialoom/fleet/relay_selection.h"

#include "fuchsialoom/fleet/pacing.h"
#include "fuchsialoom/support/hash.h"

#include <algorithm>

namespace fuchsialoom
{

/// A VM relays for so long after it was last asked to.
static constexpr milliseconds relayRequestLifetime{3000};
/// A relay that fell silent isn't asked again before.
static constexpr milliseconds silentRelayAvoidance{5000};
/// One that never answered may be gone for good: records of VMs outlive them.
static constexpr milliseconds unansweredRelayAvoidance{30000};
/// One that stops is gone by then.
static constexpr milliseconds leavingRelayAvoidance{30000};
/// A relay that is asked for the first time answers at once.
static constexpr milliseconds firstAnswerTimeout{600};

relay_selection::relay_selection(vm_id self, domain_id domain)
    : m_self(std::move(self))
    , m_domain(std::move(domain))
{
}

void relay_selection::onRelayHeard(instant now, const vm_id &relay, milliseconds nextWithin)
{
    if (m_relay == relay) {
        m_served = true;
        m_silentAt = now + pacing::suspectTimeout(nextWithin);
    }
}

void relay_selection::setLiveRelays(std::vector<vm_id> relays)
{
    m_liveRelays = std::move(relays);
}

void relay_selection::leaving(instant now, const vm_id &relay)
{
    m_avoided[relay] = now + leavingRelayAvoidance;
    if (m_relay == relay) {
        m_silentAt = now;
    }
}

void relay_selection::onRelayRequest(instant now)
{
    m_requestedUntil = now + relayRequestLifetime;
}

void relay_selection::clearRelayRequests()
{
    m_requestedUntil = {};
}

void relay_selection::update(instant now, const membership_view &membership, bool keepRelaying)
{
    std::erase_if(m_avoided, [now](const auto &entry) {
        return now >= entry.second;
    });
    if (m_relay && now >= m_silentAt) {
        m_avoided.try_emplace(*m_relay, now + (m_served ? silentRelayAvoidance : unansweredRelayAvoidance));
        m_relay.reset();
    }
    const std::vector<vm_record> &ranked = membership.ranked(m_domain);
    const std::size_t count = membership.relayCount(m_domain);
    const auto self = std::ranges::find(ranked, m_self, &vm_record::vm);
    const bool isRanked = self == ranked.end() || static_cast<std::size_t>(self - ranked.begin()) < count;
    m_isRelay = isRanked || keepRelaying || now < m_requestedUntil;
    if (m_isRelay) {
        m_relay.reset();
        return;
    }
    if (!m_relay) {
        selectFromRanking(now, ranked, count);
    } else {
        switchToPreferred(now, ranked, count);
    }
}

void relay_selection::selectRelay(instant now, const vm_id &relay)
{
    m_relay = relay;
    m_served = false;
    m_silentAt = now + firstAnswerTimeout;
    m_liveRelays.clear();
}

/// Whoever was asked while stronger VMs were away or not known relays until one of these is known to live.
void relay_selection::switchToPreferred(instant now, const std::vector<vm_record> &ranked, std::size_t count)
{
    std::vector<vm_id> candidates;
    for (std::size_t at = 0; at < std::min(count, ranked.size()); ++at) {
        const vm_id &vm = ranked[at].vm;
        if (vm == m_relay) {
            return;
        }
        if (std::ranges::find(m_liveRelays, vm) != m_liveRelays.end() && !m_avoided.contains(vm)) {
            candidates.push_back(vm);
        }
    }
    if (!candidates.empty()) {
        selectRelay(now, candidates.at(hashOf(m_self.text()).value() % candidates.size()));
    }
}

/// Spreads the members over the first relays that aren't avoided. A VM that finds itself among these relays.
void relay_selection::selectFromRanking(instant now, const std::vector<vm_record> &ranked, std::size_t count)
{
    std::vector<vm_id> candidates;
    for (const vm_record &one : ranked) {
        if (candidates.size() < count && !m_avoided.contains(one.vm)) {
            candidates.push_back(one.vm);
        }
    }
    if (std::ranges::find(candidates, m_self) != candidates.end()) {
        m_isRelay = true;
        return;
    }
    selectRelay(now, candidates.at(hashOf(m_self.text()).value() % candidates.size()));
}

} // namespace fuchsialoom
