/// \file
/// Which VMs there are, as one of them sees it.
#include "fuchsialoom/core/membership.h"

#include "fuchsialoom/support/hash.h"

#include <algorithm>
#include <utility>

namespace fuchsialoom
{

/// Other domains are greeted once in so many rounds.
static constexpr std::uint64_t foreignEvery = 8;
/// A VM counted as gone is greeted once in so many rounds, in case it is only cut off.
static constexpr std::uint64_t goneEvery = 4;
static constexpr std::size_t contactsPerDomain = 2;
/// A suspected VM counts as gone after so many times the span after which it was suspected.
static constexpr int goneFactor = 5;
/// A VM that is gone and not listed is not greeted after this.
static constexpr std::chrono::hours greetGoneFor{1};
/// Names of VMs kept, so that a lower incarnation is never believed again.
static constexpr std::size_t mostRemembered = 4096;

membership::membership(vm_contact self, membership_rules rules)
    : m_self(std::move(self))
    , m_rules(rules)
{
}

membership_actions membership::step(instant now, const membership_event &event)
{
    membership_actions actions;
    std::visit(
        [&](const auto &what) {
            handle(now, what, actions);
        },
        event);
    return actions;
}

bool membership::isOwnDomain(const peer_record &peer) const
{
    return peer.contact.domain == m_self.domain;
}

void membership::handle(instant, const vms_listed &event, membership_actions &)
{
    for (auto &[vm, peer] : m_peers) {
        peer.listed = false;
        peer.listedAddress.reset();
    }
    for (const listed_vm &listed : event.vms) {
        if (listed.id == m_self.vm || listed.id.empty()) {
            continue;
        }
        const auto [place, isNew] = m_peers.try_emplace(listed.id);
        peer_record &peer = place->second;
        if (isNew) {
            peer.contact = vm_contact{listed.id, {}, listed.domain, listed.peer, listed.admin, false};
        }
        peer.listed = true;
        if (peer.contact.peer != listed.peer) {
            peer.listedAddress = listed.peer;
        }
    }
    forgetOldest();
}

/// Whether \p contact is at least as new as what is known of its name.
bool membership::mayBelieve(const vm_contact &contact) const
{
    const auto known = m_peers.find(contact.vm);
    return known == m_peers.end() || known->second.contact.incarnation <= contact.incarnation;
}

/// Takes \p contact in as what \p peer says of itself. Its incarnation is not lower than the known one.
void membership::adopt(peer_record &peer, const vm_contact &contact, membership_actions &actions)
{
    if (!peer.contact.incarnation.isNone() && peer.contact.incarnation < contact.incarnation) {
        peer.hearsUs = false;
        peer.knowsUs = false;
        peer.heardAt.reset();
        peer.answeredAt.reset();
        actions.events.push_back(
            timeline_event(event_kind::PeerReplaced, contact.vm.text()).with(event_field::Incarnation, contact.incarnation));
    }
    if (peer.listedAddress && *peer.listedAddress == contact.peer) {
        peer.listedAddress.reset();
    }
    peer.contact = contact;
}

/// An address has one holder: others that claimed it before are gone.
void membership::retireFormerHolders(instant now, const vm_contact &holder, membership_actions &actions)
{
    for (auto &[vm, peer] : m_peers) {
        const bool older = peer.contact.incarnation < holder.incarnation;
        if (vm != holder.vm && peer.contact.peer == holder.peer && older && peer.state != peer_state::Gone) {
            setState(now, peer, peer_state::Gone, actions);
        }
    }
}

void membership::handle(instant now, const peer_heard &event, membership_actions &actions)
{
    const vm_contact &contact = event.contact;
    if (contact.vm == m_self.vm) {
        m_superseded = m_superseded || m_self.incarnation < contact.incarnation;
        return;
    }
    if (contact.vm.empty() || contact.incarnation.isNone() || !mayBelieve(contact)) {
        return;
    }
    peer_record &peer = m_peers[contact.vm];
    adopt(peer, contact, actions);
    peer.heardAt = now;
    if (event.answers) {
        peer.answeredAt = now;
    }
    peer.hearsUs = event.hearsUs;
    peer.knowsUs = event.knowsUs;
    m_stale = false;
    setState(now, peer, peer_state::Alive, actions);
    retireFormerHolders(now, contact, actions);
    forgetOldest();
}

void membership::handle(instant now, const peer_mentioned &event, membership_actions &actions)
{
    const vm_contact &contact = event.contact;
    if (contact.vm == m_self.vm || contact.vm.empty() || !mayBelieve(contact)) {
        return;
    }
    const auto [place, isNew] = m_peers.try_emplace(contact.vm);
    peer_record &peer = place->second;
    if (isNew) {
        peer.contact = contact;
    } else if (peer.contact.incarnation < contact.incarnation) {
        adopt(peer, contact, actions);
        setState(now, peer, peer_state::Listed, actions);
        peer.judgedFrom.reset();
    }
    forgetOldest();
}

void membership::handle(instant, const rules_changed &event, membership_actions &)
{
    m_rules = event.rules;
}

/// A process that was paused heard nobody meanwhile: that is no evidence against anyone.
void membership::noticePause(instant now)
{
    if (!m_lastRound || now - *m_lastRound <= m_rules.suspectAfter / 2 + m_rules.heartbeat) {
        return;
    }
    m_stale = true;
    m_resumedAt = now;
    for (auto &[vm, peer] : m_peers) {
        peer.judgedFrom = now;
    }
}

void membership::handle(instant now, const heartbeat_due &, membership_actions &actions)
{
    noticePause(now);
    m_lastRound = now;
    const std::set<vm_id> contacts = foreignContacts();
    for (auto &[vm, peer] : m_peers) {
        const bool greeted = isOwnDomain(peer) || contacts.contains(vm);
        if (!greeted) {
            // Nobody greets it from here, so its silence says nothing.
            peer.judgedFrom.reset();
        }
        judge(now, peer, actions);
        const std::uint64_t every = (isOwnDomain(peer) ? 1 : foreignEvery) * (peer.state == peer_state::Gone ? goneEvery : 1);
        if (greeted && m_round % every == 0) {
            greet(now, peer, actions);
        }
    }
    ++m_round;
}

void membership::judge(instant now, peer_record &peer, membership_actions &actions) const
{
    const std::optional<instant> lastSign = std::max(peer.heardAt, peer.judgedFrom);
    if (!lastSign) {
        return;
    }
    const auto factor = isOwnDomain(peer) ? 1 : static_cast<int>(foreignEvery);
    const auto suspectAfter = m_rules.suspectAfter * factor;
    const auto silence = now - *lastSign;
    if (silence < suspectAfter || peer.state == peer_state::Gone) {
        return;
    }
    if (!peer.judgedFrom) {
        if (peer.state == peer_state::Alive) {
            setState(now, peer, peer_state::Listed, actions);
        }
        return;
    }
    const bool leaves = peer.contact.draining && !peer.listed;
    const bool isGone = leaves || silence >= suspectAfter * goneFactor;
    setState(now, peer, isGone ? peer_state::Gone : peer_state::Suspected, actions);
}

static std::optional<event_kind> eventOf(peer_state state)
{
    switch (state) {
    case peer_state::Alive:
        return event_kind::PeerAlive;
    case peer_state::Suspected:
        return event_kind::PeerSuspected;
    case peer_state::Gone:
        return event_kind::PeerGone;
    case peer_state::Listed:
        break;
    }
    return std::nullopt;
}

void membership::setState(instant now, peer_record &peer, peer_state state, membership_actions &actions)
{
    if (peer.state == state) {
        return;
    }
    peer.state = state;
    peer.goneAt = state == peer_state::Gone ? std::optional(now) : std::nullopt;
    if (const std::optional<event_kind> kind = eventOf(state)) {
        actions.events.push_back(timeline_event(*kind, peer.contact.vm.text())
                                     .with(event_field::Domain, peer.contact.domain)
                                     .with(event_field::Incarnation, peer.contact.incarnation));
    }
}

/// The VMs of other domains that this one greets: for each domain a few, by rendezvous, those thought
/// gone only where no other is known.
std::set<vm_id> membership::foreignContacts() const
{
    std::map<domain_id, std::vector<std::string>> candidates;
    std::map<domain_id, std::vector<std::string>> gone;
    for (const auto &[vm, peer] : m_peers) {
        if (!isOwnDomain(peer)) {
            auto &group = peer.state == peer_state::Gone || peer.state == peer_state::Suspected ? gone : candidates;
            group[peer.contact.domain].push_back(vm.text());
        }
    }
    for (auto &[domain, names] : gone) {
        if (candidates[domain].empty()) {
            candidates[domain] = names;
        }
    }
    std::set<vm_id> chosen;
    for (const auto &[domain, names] : candidates) {
        for (const std::size_t index : rendezvous(m_self.vm.text(), names, contactsPerDomain)) {
            chosen.insert(vm_id(names[index]));
        }
    }
    return chosen;
}

void membership::greet(instant now, peer_record &peer, membership_actions &actions) const
{
    if (!peer.judgedFrom) {
        peer.judgedFrom = now;
    }
    const bool over = peer.goneAt && now - *peer.goneAt > greetGoneFor;
    if (over && !peer.listed) {
        return;
    }
    actions.heartbeats.push_back(send_heartbeat{peer.contact.peer, peer.contact.vm, isOwnDomain(peer)});
    if (peer.listedAddress) {
        actions.heartbeats.push_back(send_heartbeat{*peer.listedAddress, peer.contact.vm, isOwnDomain(peer)});
    }
}

/// Keeps the memory of names bounded: whoever is gone longest goes first.
void membership::forgetOldest()
{
    while (m_peers.size() > mostRemembered) {
        auto oldest = m_peers.end();
        for (auto place = m_peers.begin(); place != m_peers.end(); ++place) {
            const bool spare = place->second.state != peer_state::Alive;
            if (spare && (oldest == m_peers.end() || place->second.heardAt < oldest->second.heardAt)) {
                oldest = place;
            }
        }
        if (oldest == m_peers.end()) {
            return;
        }
        m_peers.erase(oldest);
    }
}

bool membership::isReachable(const peer_record &peer) const
{
    if (peer.state != peer_state::Alive || !peer.hearsUs || !peer.answeredAt) {
        return false;
    }
    const instant since = isOwnDomain(peer) && m_lastRound ? *m_lastRound - m_rules.suspectAfter : instant::min();
    return *peer.answeredAt >= std::max(since, m_resumedAt.value_or(instant::min()));
}

std::vector<known_peer> membership::peers() const
{
    std::vector<known_peer> found;
    for (const auto &[vm, peer] : m_peers) {
        found.push_back(known_peer{peer.contact, peer.state, peer.heardAt, peer.hearsUs, isReachable(peer)});
    }
    return found;
}

std::vector<vm_id> membership::dutyHolders() const
{
    std::vector<vm_id> holders;
    if (!m_self.draining) {
        holders.push_back(m_self.vm);
    }
    for (const auto &[vm, peer] : m_peers) {
        if (isOwnDomain(peer) && peer.state == peer_state::Alive && !peer.contact.draining) {
            holders.push_back(vm);
        }
    }
    if (holders.empty()) {
        holders.push_back(m_self.vm);
    }
    std::sort(holders.begin(), holders.end());
    return holders;
}

bool membership::hears(const vm_id &vm) const
{
    const auto found = m_peers.find(vm);
    return found != m_peers.end() && found->second.state == peer_state::Alive;
}

incarnation_number membership::heardIncarnation(const vm_id &vm) const
{
    return hears(vm) ? m_peers.at(vm).contact.incarnation : incarnation_number();
}

bool membership::isKnownTo(const vm_id &vm) const
{
    return hears(vm) && m_peers.at(vm).knowsUs;
}

std::optional<vm_contact> membership::contactOf(const vm_id &vm, incarnation_number incarnation) const
{
    const auto found = m_peers.find(vm);
    if (found == m_peers.end() || incarnation.isNone() || found->second.contact.incarnation != incarnation) {
        return std::nullopt;
    }
    return found->second.contact;
}

} // namespace fuchsialoom
