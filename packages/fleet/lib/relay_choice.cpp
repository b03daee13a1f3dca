/// \file
/// The choice of a relay.
#include "fuchsialoom/fleet/relay_choice.h"

#include "fuchsialoom/fleet/pacing.h"
#include "fuchsialoom/support/hash.h"

#include <algorithm>

namespace fuchsialoom
{

/// A VM relays for so long after it was last asked to.
static constexpr milliseconds askHolds{3000};
/// A relay that fell silent isn't asked again before.
static constexpr milliseconds avoidSilent{5000};
/// One that never answered may be gone for good: records of VMs outlive them.
static constexpr milliseconds avoidUnheard{30000};
/// One that stops is gone by then.
static constexpr milliseconds avoidLeaving{30000};
/// A relay that is asked for the first time answers at once.
static constexpr milliseconds firstAnswer{600};

relay_choice::relay_choice(vm_id self, domain_id domain)
    : m_self(std::move(self))
    , m_domain(std::move(domain))
{
}

void relay_choice::heard(instant now, const vm_id &relay, milliseconds due)
{
    if (m_relay == relay) {
        m_served = true;
        m_silentAt = now + pacing::silenceOf(due);
    }
}

void relay_choice::setLive(std::vector<vm_id> relays)
{
    m_live = std::move(relays);
}

void relay_choice::leaving(instant now, const vm_id &relay)
{
    m_avoided[relay] = now + avoidLeaving;
    if (m_relay == relay) {
        m_silentAt = now;
    }
}

void relay_choice::asked(instant now)
{
    m_askedUntil = now + askHolds;
}

void relay_choice::unasked()
{
    m_askedUntil = {};
}

void relay_choice::update(instant now, const roster &known, bool keepRelaying)
{
    std::erase_if(m_avoided, [now](const auto &entry) {
        return now >= entry.second;
    });
    if (m_relay && now >= m_silentAt) {
        m_avoided.try_emplace(*m_relay, now + (m_served ? avoidSilent : avoidUnheard));
        m_relay.reset();
    }
    const std::vector<vm_record> &ranked = known.ranked(m_domain);
    const std::size_t count = known.relayCount(m_domain);
    const auto self = std::ranges::find(ranked, m_self, &vm_record::vm);
    const bool isRanked = self == ranked.end() || static_cast<std::size_t>(self - ranked.begin()) < count;
    m_isRelay = isRanked || keepRelaying || now < m_askedUntil;
    if (m_isRelay) {
        m_relay.reset();
        return;
    }
    if (!m_relay) {
        choose(now, ranked, count);
    } else {
        moveUp(now, ranked, count);
    }
}

void relay_choice::take(instant now, const vm_id &relay)
{
    m_relay = relay;
    m_served = false;
    m_silentAt = now + firstAnswer;
    m_live.clear();
}

/// Whoever was asked while stronger VMs were away or not known relays until one of these is known to live.
void relay_choice::moveUp(instant now, const std::vector<vm_record> &ranked, std::size_t count)
{
    std::vector<vm_id> first;
    for (std::size_t at = 0; at < std::min(count, ranked.size()); ++at) {
        const vm_id &vm = ranked[at].vm;
        if (vm == m_relay) {
            return;
        }
        if (std::ranges::find(m_live, vm) != m_live.end() && !m_avoided.contains(vm)) {
            first.push_back(vm);
        }
    }
    if (!first.empty()) {
        take(now, first.at(hashOf(m_self.text()).value() % first.size()));
    }
}

/// Spreads the members over the first relays that aren't avoided. A VM that finds itself among these relays.
void relay_choice::choose(instant now, const std::vector<vm_record> &ranked, std::size_t count)
{
    std::vector<vm_id> first;
    for (const vm_record &one : ranked) {
        if (first.size() < count && !m_avoided.contains(one.vm)) {
            first.push_back(one.vm);
        }
    }
    if (std::ranges::find(first, m_self) != first.end()) {
        m_isRelay = true;
        return;
    }
    take(now, first.at(hashOf(m_self.text()).value() % first.size()));
}

} // namespace fuchsialoom
