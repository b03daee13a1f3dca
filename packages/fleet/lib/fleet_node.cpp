/// \file
/// What a VM takes from others. What it sends is in fleet_sending.cpp.
#include "fuchsialoom/fleet/fleet_node.h"

#include "fuchsialoom/fleet/pacing.h"
#include "fuchsialoom/support/hash.h"

#include <algorithm>
#include <tuple>

namespace fuchsialoom
{

/// Digests go to an address of which no VM is known for so long.
static constexpr milliseconds seedTime{30000};
/// And to one that another relay hears; it is told of again with every digest.
static constexpr milliseconds toldRelayTime{3000};
/// A count of live VMs isn't lowered before: members of a lost relay are heard by another one within this.
static constexpr milliseconds liveHold{4000};
/// Names of VMs remembered, ten fleets of the size to design for.
static constexpr std::size_t mostSeen = 4096;

fleet_node::fleet_node(vm_record self, std::uint64_t incarnation, fleet_events events)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_events(std::move(events))
    , m_choice(m_self.vm, m_self.domain)
{
    m_roster.put(m_self);
}

void fleet_node::know(instant now, vm_record record)
{
    if (m_roster.put(std::move(record))) {
        updateRole(now);
    }
}

void fleet_node::addSeed(instant now, const endpoint &address)
{
    if (address != m_self.address) {
        m_seeds[address] = now + seedTime;
    }
}

bool fleet_node::isNews(const word_origin &origin)
{
    if (origin.vm == m_self.vm || (m_seen.size() >= mostSeen && !m_seen.contains(origin.vm))) {
        return false;
    }
    seen_word &seen = m_seen[origin.vm];
    if (std::pair(origin.incarnation, origin.sequence) <= std::pair(seen.incarnation, seen.sequence)) {
        return false;
    }
    seen = {origin.incarnation, origin.sequence};
    return true;
}

void fleet_node::onDatagram(instant now, const peer_datagram &datagram, const endpoint &from)
{
    if (const auto *digest = std::get_if<peer_digest>(&datagram)) {
        if (isNews(digest->origin)) {
            onDigest(now, *digest, from);
        }
    } else if (const auto *note = std::get_if<flight_note>(&datagram)) {
        if (isNews(note->origin)) {
            onNote(now, *note);
        }
    } else if (const auto *word = std::get_if<member_word>(&datagram)) {
        if (isNews(word->word.origin)) {
            onRelayWord(now, *word);
        }
    }
}

void fleet_node::onDigest(instant now, const peer_digest &digest, const endpoint &from)
{
    switch (digest.request) {
    case relay_request::None:
        onRelayDigest(now, digest, from);
        break;
    case relay_request::Relay:
        onMemberDigest(now, digest, from);
        break;
    case relay_request::Leave:
        onLeave(now, digest.origin.vm);
        break;
    case relay_request::NotRelay:
        onNotRelay(digest.origin.vm);
        break;
    }
}

void fleet_node::onNotRelay(const vm_id &vm)
{
    if (m_relays.erase(vm) > 0) {
        dropSource(vm);
    }
}

void fleet_node::onLeave(instant now, const vm_id &vm)
{
    if (m_members.erase(vm) > 0) {
        dropSource(vm);
    }
    if (m_members.empty()) {
        m_choice.unasked();
        updateRole(now);
    }
}

void fleet_node::takeFlights(instant now, const vm_id &source, const flight_counts &flights, bool isWhole)
{
    if (isWhole) {
        m_all.set(now, source, flights);
    } else {
        m_all.change(now, source, flights);
    }
    m_events.onFlights(source, flights, isWhole);
    if (!m_members.empty()) {
        hastenNote(now);
    }
}

void fleet_node::dropSource(const vm_id &source)
{
    m_group.forget(source);
    m_all.forget(source);
    m_events.onForgotten(source);
}

void fleet_node::onMemberDigest(instant now, const peer_digest &digest, const endpoint &from)
{
    const vm_id &vm = digest.origin.vm;
    m_choice.asked(now);
    updateRole(now);
    m_relays.erase(vm);
    const auto [found, isNew] = m_members.try_emplace(vm);
    member_state &member = found->second;
    member.address = from;
    member.silentAt = now + std::max(pacing::keptWord, pacing::silenceOf(digest.due));
    member.demand = digest.demand;
    m_group.set(now, vm, digest.flights);
    takeFlights(now, vm, digest.flights, true);
    m_events.onDemand(vm, digest.demand);
    m_events.onConfigVersion(vm, digest.configVersion);
    hear(now, digest.holder, true);
    if (digest.renounced) {
        m_events.onRenounced(*digest.renounced);
    }
    for (const adapter_want &want : digest.wants) {
        raiseWant(now, want);
        m_events.onWant(want);
    }
    hearNews(now, digest.news, true);
    if (isNew) {
        m_events.onChange(fleet_change::MemberJoined, vm);
        hasten(now);
    }
    countLive(now);
}

void fleet_node::onRelayDigest(instant now, const peer_digest &digest, const endpoint &from)
{
    const vm_id &vm = digest.origin.vm;
    m_events.onConfigVersion(vm, digest.configVersion);
    updateRole(now);
    if (!m_choice.isRelay()) {
        m_mistaken.push_back(from); // this VM's relay tells of everybody, the sender among them
        return;
    }
    m_members.erase(vm);
    m_group.forget(vm);
    const auto [found, isNew] = m_relays.try_emplace(vm);
    peer_state &peer = found->second;
    if (isNew || !peer.live) {
        m_events.onChange(fleet_change::RelayHeard, vm);
        if (isNew) {
            hasten(now);
        }
    }
    peer = {from, std::max<std::uint32_t>(1, digest.vms), now, now + pacing::silenceOf(digest.due), true};
    takeFlights(now, vm, digest.flights, true);
    m_events.onDemand(vm, digest.demand);
    hear(now, digest.holder, false);
    if (digest.renounced) {
        m_events.onRenounced(*digest.renounced);
    }
    for (const adapter_want &want : digest.wants) {
        m_events.onWant(want);
    }
    hearNews(now, digest.news, false);
    for (const endpoint &relay : digest.relays) {
        if (relay != m_self.address && m_seeds.size() < mostSeen) {
            instant &until = m_seeds[relay];
            until = std::max(until, now + toldRelayTime);
        }
    }
    countLive(now);
}

void fleet_node::onNote(instant now, const flight_note &note)
{
    const vm_id &vm = note.origin.vm;
    const bool isMember = m_members.contains(vm);
    const auto relay = m_relays.find(vm);
    if (!isMember && relay == m_relays.end()) {
        return; // its digest comes first
    }
    if (relay != m_relays.end()) {
        relay->second.heardAt = now;
        relay->second.silentAt = std::max(relay->second.silentAt, now + pacing::leastSilence);
    }
    if (isMember) {
        m_group.change(now, vm, note.changed);
        hastenNote(now);
    }
    takeFlights(now, vm, note.changed, false);
    for (const adapter_want &want : note.wants) {
        if (isMember) {
            raiseWant(now, want);
        }
        m_events.onWant(want);
    }
    hearNews(now, note.news, isMember);
}

void fleet_node::onRelayWord(instant now, const member_word &told)
{
    const relay_word &word = told.word;
    const vm_id &relay = word.origin.vm;
    updateRole(now);
    if (m_choice.relay() != relay) {
        return;
    }
    if (word.leaving) {
        m_choice.leaving(now, relay);
        updateRole(now);
        return;
    }
    m_choice.heard(now, relay, word.due);
    flight_counts others = word.flights;
    for (auto &[key, flights] : others) {
        const auto mine = told.yours.find(key);
        if (mine != told.yours.end()) {
            flights -= mine->second;
        }
    }
    if (word.isWhole && m_flightsFrom != relay) {
        if (m_flightsFrom) {
            dropSource(*m_flightsFrom);
        }
        m_flightsFrom = relay;
    }
    if (m_flightsFrom == relay) {
        m_events.onFlights(relay, others, word.isWhole);
    }
    if (word.isWhole) {
        m_choice.setLive(word.relays);
    }
    m_events.onConfigVersion(relay, word.configVersion);
    hear(now, word.holder, false);
    hearNews(now, word.news, false);
    m_liveVms = std::max<std::uint32_t>(1, word.liveVms);
    m_events.onLiveVms(m_liveVms);
}

void fleet_node::hear(instant now, const std::optional<holder_word> &holder, bool fromMember)
{
    if (!holder || (m_holder && now < m_holder->until && m_holder->fence > holder->fence)) {
        return;
    }
    m_holder = known_holder{holder->fence, now + holder->wait, fromMember, now + pacing::leastSilence};
    m_events.onHolder(holder->wait);
}

void fleet_node::hearNews(instant now, const std::vector<residency_news> &news, bool fromMember)
{
    for (const residency_news &one : news) {
        m_events.onNews(one);
        if (fromMember && !m_news.contains(one)) {
            m_freshNews.push_back(one);
            m_news[one] = now;
        } else if (!fromMember && !m_members.empty() && !m_heardNews.contains(one)) {
            m_freshHeardNews.push_back(one);
            m_heardNews[one] = now;
        }
    }
    if (!news.empty() && !m_members.empty()) {
        hastenNote(now);
    }
}

void fleet_node::updateRole(instant now)
{
    const std::optional<vm_id> before = m_choice.relay();
    m_choice.update(now, m_roster, m_holdsDuty);
    if (m_choice.isRelay() != m_wasRelay) {
        m_wasRelay = m_choice.isRelay();
        m_liveHeldUntil = now + liveHold; // what the relay told holds until others are heard
        m_events.onChange(m_wasRelay ? fleet_change::BecameRelay : fleet_change::BecameMember, m_self.vm);
        // Words of the other kind of source would count flights twice.
        std::vector<vm_id> sources;
        for (const auto &[vm, peer] : m_relays) {
            sources.push_back(vm);
            m_mistaken.push_back(peer.address);
        }
        for (const auto &[vm, member] : m_members) {
            sources.push_back(vm);
        }
        m_relays.clear();
        m_members.clear();
        if (m_wasRelay && m_flightsFrom) {
            sources.push_back(*m_flightsFrom);
            m_flightsFrom.reset();
        }
        for (const vm_id &source : sources) {
            dropSource(source);
        }
        hasten(now);
    }
    const vm_record *former = before && m_choice.relay() != before ? m_roster.find(*before) : nullptr;
    if (former) {
        m_formerRelays.push_back(former->address);
    }
    if (m_choice.relay() && m_choice.relay() != before) {
        m_events.onChange(fleet_change::RelayChosen, *m_choice.relay());
        hasten(now);
    }
}

void fleet_node::expire(instant now)
{
    std::erase_if(m_seeds, [now](const auto &seed) {
        return now >= seed.second;
    });
    for (auto one = m_members.begin(); one != m_members.end();) {
        const vm_id vm = one->first;
        const bool isSilent = now >= one->second.silentAt;
        ++one;
        if (isSilent) {
            m_members.erase(vm);
            dropSource(vm);
            m_events.onChange(fleet_change::MemberSilent, vm);
        }
    }
    for (auto one = m_relays.begin(); one != m_relays.end();) {
        peer_state &peer = one->second;
        const vm_id vm = one->first;
        ++one;
        if (peer.live && now >= peer.silentAt) {
            peer.live = false;
            m_events.onChange(fleet_change::RelaySilent, vm);
        }
        if (!peer.live && now >= peer.heardAt + pacing::keptWord) {
            m_relays.erase(vm);
            dropSource(vm);
        }
    }
    countLive(now);
}

void fleet_node::countLive(instant now)
{
    if (!m_choice.isRelay()) {
        return; // the relay tells
    }
    std::size_t live = 1 + m_members.size();
    for (const auto &[vm, peer] : m_relays) {
        live += peer.live ? peer.vms : 0;
    }
    if (live >= m_liveVms) {
        m_liveHeldUntil = now + liveHold;
    }
    if (live > m_liveVms || (live < m_liveVms && now >= m_liveHeldUntil)) {
        m_liveVms = live;
        m_events.onLiveVms(live);
    }
}

const vm_record *fleet_node::servingRelay(instant now) const
{
    return m_choice.isServed(now) ? m_roster.find(*m_choice.relay()) : nullptr;
}

std::vector<vm_record> fleet_node::liveRelays() const
{
    std::vector<vm_record> live;
    for (const auto &[vm, peer] : m_relays) {
        const vm_record *record = m_roster.find(vm);
        if (peer.live && record) {
            live.push_back(*record);
        }
    }
    return live;
}

std::optional<std::size_t> fleet_node::dutyRank() const
{
    if (!m_choice.isRelay()) {
        return std::nullopt;
    }
    const auto order = [](const vm_record &one) {
        return std::tuple(-static_cast<std::int64_t>(one.capacity), hashOf(one.vm.text()), one.vm);
    };
    // One whose record isn't known yet goes first.
    return std::ranges::count_if(m_relays, [this, order](const auto &entry) {
        const vm_record *record = m_roster.find(entry.first);
        return entry.second.live && (!record || order(*record) < order(m_self));
    });
}

} // namespace fuchsialoom
