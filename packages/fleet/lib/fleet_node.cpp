/// \file
/// Processing of received messages. Sending is in fleet_sending.cpp.
#include "fuchsialoom/fleet/fleet_node.h"

#include "fuchsialoom/fleet/pacing.h"
#include "fuchsialoom/support/hash.h"

#include <algorithm>
#include <tuple>

namespace fuchsialoom
{

/// How long digests are sent to a seed address at which no VM is known.
static constexpr milliseconds seedLifetime{30000};
/// The same for a relay reported by another relay, whose every digest reports it again.
static constexpr milliseconds reportedRelayLifetime{3000};
/// Delay before the count of live VMs is lowered: the members of a failed relay switch to another one within this time.
static constexpr milliseconds liveCountHoldTime{4000};
/// Bound on remembered senders: ten times the largest fleet this is designed for.
static constexpr std::size_t maxKnownSenders = 4096;

fleet_node::fleet_node(vm_record self, std::uint64_t incarnation, team_quotas &quotas, fleet_events events)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_events(std::move(events))
    , m_relaySelection(m_self.vm, m_self.domain)
    , m_quotas(quotas)
    , m_quotaExchange(quotas)
{
    m_membership.put(m_self);
}

void fleet_node::addRecord(instant now, vm_record record)
{
    if (m_membership.put(std::move(record))) {
        if (!m_countsRegisteredUntil) {
            m_countsRegisteredUntil = now + liveCountHoldTime;
        }
        updateLiveVms(now);
        updateRole(now);
    }
}

void fleet_node::addSeed(instant now, const endpoint &address)
{
    if (address != m_self.address) {
        m_seeds[address] = now + seedLifetime;
    }
}

bool fleet_node::acceptMessage(const message_origin &origin)
{
    if (origin.vm == m_self.vm || (m_lastMessages.size() >= maxKnownSenders && !m_lastMessages.contains(origin.vm))) {
        return false;
    }
    last_message &seen = m_lastMessages[origin.vm];
    if (std::pair(origin.incarnation, origin.sequence) <= std::pair(seen.incarnation, seen.sequence)) {
        return false;
    }
    seen = {origin.incarnation, origin.sequence};
    return true;
}

void fleet_node::onDatagram(instant now, const peer_datagram &datagram, const endpoint &from)
{
    if (const auto *digest = std::get_if<peer_digest>(&datagram)) {
        if (acceptMessage(digest->origin)) {
            onDigest(now, *digest, from);
        }
    } else if (const auto *delta = std::get_if<delta_message>(&datagram)) {
        if (acceptMessage(delta->origin)) {
            onDelta(now, *delta);
        }
    } else if (const auto *message = std::get_if<member_update>(&datagram)) {
        if (acceptMessage(message->message.origin)) {
            onRelayUpdate(now, *message);
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
        removeSource(vm);
    }
}

void fleet_node::onLeave(instant now, const vm_id &vm)
{
    if (m_members.erase(vm) > 0) {
        removeSource(vm);
    }
    if (m_members.empty()) {
        m_relaySelection.clearRelayRequests();
        updateRole(now);
    }
}

void fleet_node::applyInFlight(instant now, const vm_id &source, const in_flight_counts &inFlight, bool isFull)
{
    if (isFull) {
        m_fleetInFlight.set(now, source, inFlight);
    } else {
        m_fleetInFlight.change(now, source, inFlight);
    }
    m_events.onInFlightCounts(source, inFlight, isFull);
    if (!m_members.empty()) {
        scheduleDelta(now);
    }
}

void fleet_node::removeSource(const vm_id &source)
{
    m_groupInFlight.forget(source);
    m_fleetInFlight.forget(source);
    m_quotaExchange.forget(source);
    m_pathReports.forget(source);
    if (m_brittleReports.forget(source)) {
        m_events.onBrittleServices(m_brittleReports.all());
    }
    m_events.onSourceRemoved(source);
}

void fleet_node::onMemberDigest(instant now, const peer_digest &digest, const endpoint &from)
{
    const vm_id &vm = digest.origin.vm;
    m_relaySelection.onRelayRequest(now);
    updateRole(now);
    m_relays.erase(vm);
    const auto [found, isNew] = m_members.try_emplace(vm);
    member_state &member = found->second;
    member.address = from;
    member.heardAt = now;
    member.nextWithin = digest.nextWithin;
    member.silentAt = now + std::max(pacing::stateRetention, pacing::suspectTimeout(digest.nextWithin));
    member.demand = digest.demand;
    m_groupInFlight.set(now, vm, digest.inFlight);
    m_quotaExchange.onReport(now, vm, digest.origin.incarnation, digest.spending, true);
    applyInFlight(now, vm, digest.inFlight, true);
    m_events.onDemandReport(vm, digest.demand);
    m_events.onConfigVersion(vm, digest.configVersion);
    updateHolder(now, digest.holder, true);
    if (digest.renounced) {
        m_events.onRenounced(*digest.renounced);
    }
    for (const adapter_request &adapterRequest : digest.adapterRequests) {
        broadcastAdapterRequest(now, adapterRequest);
        m_events.onAdapterRequest(adapterRequest);
    }
    applyResidencyChanges(now, digest.residencyChanges, true);
    applyCrashNews(now, digest.crashes, true);
    applyPathReport(now, vm, digest.withoutPath);
    applyBrittleReport(now, vm, digest.brittle);
    if (isNew) {
        m_events.onChange(fleet_change::MemberJoined, vm);
        repeatCrashNews(now);
        scheduleEarlyDigest(now);
    }
    updateLiveVms(now);
}

void fleet_node::onRelayDigest(instant now, const peer_digest &digest, const endpoint &from)
{
    const vm_id &vm = digest.origin.vm;
    m_events.onConfigVersion(vm, digest.configVersion);
    updateRole(now);
    if (!m_relaySelection.isRelay()) {
        m_notRelayReceivers.push_back(from); // this VM's relay already reports all VMs, including the sender
        return;
    }
    m_members.erase(vm);
    m_groupInFlight.forget(vm);
    const auto [found, isNew] = m_relays.try_emplace(vm);
    peer_state &peer = found->second;
    if (isNew || !peer.live) {
        m_events.onChange(fleet_change::RelayHeard, vm);
        repeatCrashNews(now);
        if (isNew) {
            scheduleEarlyDigest(now);
        }
    }
    peer = {from, std::max<std::uint32_t>(1, digest.vms), now, now + pacing::suspectTimeout(digest.nextWithin), digest.nextWithin, true};
    m_quotaExchange.onReport(now, vm, digest.origin.incarnation, digest.spending, false);
    applyInFlight(now, vm, digest.inFlight, true);
    m_events.onDemandReport(vm, digest.demand);
    updateHolder(now, digest.holder, false);
    if (digest.renounced) {
        m_events.onRenounced(*digest.renounced);
    }
    for (const adapter_request &adapterRequest : digest.adapterRequests) {
        m_events.onAdapterRequest(adapterRequest);
    }
    applyResidencyChanges(now, digest.residencyChanges, false);
    applyCrashNews(now, digest.crashes, false);
    applyPathReport(now, vm, digest.withoutPath);
    applyBrittleReport(now, vm, digest.brittle);
    for (const endpoint &relay : digest.relays) {
        if (relay != m_self.address && m_seeds.size() < maxKnownSenders) {
            instant &until = m_seeds[relay];
            until = std::max(until, now + reportedRelayLifetime);
        }
    }
    updateLiveVms(now);
}

void fleet_node::onDelta(instant now, const delta_message &delta)
{
    const vm_id &vm = delta.origin.vm;
    const bool isMember = m_members.contains(vm);
    const auto relay = m_relays.find(vm);
    if (!isMember && relay == m_relays.end()) {
        return; // ignored until a digest of the sender arrives
    }
    if (relay != m_relays.end()) {
        relay->second.heardAt = now;
        relay->second.silentAt = std::max(relay->second.silentAt, now + pacing::minSuspectTimeout);
    }
    if (isMember) {
        m_members[vm].heardAt = now;
        m_groupInFlight.change(now, vm, delta.changed);
        scheduleDelta(now);
    }
    if (m_quotaExchange.onReport(now, vm, delta.origin.incarnation, delta.spending, isMember) && !m_members.empty()) {
        scheduleDelta(now);
    }
    applyInFlight(now, vm, delta.changed, false);
    for (const adapter_request &adapterRequest : delta.adapterRequests) {
        if (isMember) {
            broadcastAdapterRequest(now, adapterRequest);
        }
        m_events.onAdapterRequest(adapterRequest);
    }
    applyResidencyChanges(now, delta.residencyChanges, isMember);
    applyCrashNews(now, delta.crashes, isMember);
}

void fleet_node::onRelayUpdate(instant now, const member_update &update)
{
    const relay_update &message = update.message;
    const vm_id &relay = message.origin.vm;
    updateRole(now);
    if (m_relaySelection.relay() != relay) {
        return;
    }
    if (message.leaving) {
        m_relaySelection.onRelayLeaving(now, relay);
        updateRole(now);
        return;
    }
    m_relaySelection.onRelayHeard(now, relay, message.nextWithin);
    in_flight_counts others = message.inFlight;
    for (auto &[key, inFlight] : others) {
        const auto mine = update.receiver.inFlight.find(key);
        if (mine != update.receiver.inFlight.end()) {
            inFlight -= mine->second;
        }
    }
    if (message.isFull && m_inFlightSource != relay) {
        if (m_inFlightSource) {
            removeSource(*m_inFlightSource);
        }
        m_inFlightSource = relay;
    }
    if (m_inFlightSource == relay) {
        m_events.onInFlightCounts(relay, others, message.isFull);
    }
    if (message.isFull) {
        m_relaySelection.setLiveRelays(message.relays);
        m_pathReports.put(relay, message.withoutPath);
        if (m_brittleReports.put(relay, message.brittle)) {
            m_events.onBrittleServices(m_brittleReports.all());
        }
    }
    m_relayHeardAt = now;
    m_relayNextWithin = message.nextWithin;
    m_quotas.setReach(now, message.reach, false);
    m_quotas.adoptBalances(now, message.balances, update.receiver.spending);
    m_events.onConfigVersion(relay, message.configVersion);
    updateHolder(now, message.holder, false);
    applyResidencyChanges(now, message.residencyChanges, false);
    applyCrashNews(now, message.crashes, false);
    m_liveVms = std::max<std::uint32_t>(1, message.liveVms);
    m_events.onLiveVms(m_liveVms);
}

void fleet_node::updateHolder(instant now, const std::optional<holder_announcement> &holder, bool fromMember)
{
    if (!holder || (m_holder && now < m_holder->until && m_holder->fence > holder->fence)) {
        return;
    }
    m_holder = known_holder{holder->fence, now + holder->wait, fromMember, now + pacing::minSuspectTimeout};
    m_events.onHolderAnnounced(holder->wait);
}

/// Stops the repetition of the earlier change that \p residencyChange reverts; else it would revert the newer one.
void fleet_node::withdrawOpposite(const residency_change &residencyChange)
{
    residency_change opposite = residencyChange;
    opposite.present = !residencyChange.present;
    m_residencyChanges.erase(opposite);
    m_changesForMembers.erase(opposite);
    std::erase(m_unsentChanges, opposite);
    std::erase(m_unsentChangesForMembers, opposite);
}

void fleet_node::applyResidencyChanges(instant now, const std::vector<residency_change> &residencyChanges, bool fromMember)
{
    for (const residency_change &one : residencyChanges) {
        m_events.onResidencyChange(one);
        withdrawOpposite(one);
        if (fromMember && !m_residencyChanges.contains(one)) {
            m_unsentChanges.push_back(one);
            m_residencyChanges[one] = now;
        } else if (!fromMember && !m_members.empty() && !m_changesForMembers.contains(one)) {
            m_unsentChangesForMembers.push_back(one);
            m_changesForMembers[one] = now;
        }
    }
    if (!residencyChanges.empty() && !m_members.empty()) {
        scheduleDelta(now);
    }
}

void fleet_node::applyCrashNews(instant now, const crash_news &news, bool fromMember)
{
    if (news.isEmpty()) {
        return;
    }
    const crash_news unknown = m_events.onCrashNews(news);
    if (unknown.isEmpty()) {
        return;
    }
    m_crashNews.add(now, unknown, fromMember);
    scheduleDelta(now);
}

void fleet_node::repeatCrashNews(instant now)
{
    const crash_news known = m_events.knownCrashes();
    if (!known.isEmpty()) {
        m_crashNews.add(now, known, true);
        scheduleDelta(now);
    }
}

void fleet_node::updateRole(instant now)
{
    const std::optional<vm_id> before = m_relaySelection.relay();
    m_relaySelection.update(now, m_membership, m_holdsDuty);
    if (m_relaySelection.isRelay() != m_wasRelay) {
        m_wasRelay = m_relaySelection.isRelay();
        m_liveVmsHeldUntil = now + liveCountHoldTime; // keeps the count that the relay reported until other VMs are heard
        m_events.onChange(m_wasRelay ? fleet_change::BecameRelay : fleet_change::BecameMember, m_self.vm);
        // Keeping the sources of the previous role would count requests twice.
        std::vector<vm_id> sources;
        for (const auto &[vm, peer] : m_relays) {
            sources.push_back(vm);
            m_notRelayReceivers.push_back(peer.address);
        }
        for (const auto &[vm, member] : m_members) {
            sources.push_back(vm);
        }
        m_relays.clear();
        m_members.clear();
        if (m_wasRelay && m_inFlightSource) {
            sources.push_back(*m_inFlightSource);
            m_inFlightSource.reset();
        }
        for (const vm_id &source : sources) {
            removeSource(source);
        }
        scheduleEarlyDigest(now);
    }
    const vm_record *former = before && m_relaySelection.relay() != before ? m_membership.find(*before) : nullptr;
    if (former) {
        m_formerRelays.push_back(former->address);
    }
    if (m_relaySelection.relay() && m_relaySelection.relay() != before) {
        m_events.onChange(fleet_change::RelayChosen, *m_relaySelection.relay());
        repeatCrashNews(now);
        scheduleEarlyDigest(now);
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
            removeSource(vm);
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
        if (!peer.live && now >= peer.heardAt + pacing::stateRetention) {
            m_relays.erase(vm);
            removeSource(vm);
        }
    }
    updateLiveVms(now);
    updateReach(now);
}

void fleet_node::updateLiveVms(instant now)
{
    const bool isNew = m_countsRegisteredUntil && now < *m_countsRegisteredUntil;
    std::size_t live = isNew ? m_membership.size() : 1;
    if (m_relaySelection.isRelay()) {
        std::size_t heard = 1 + m_members.size();
        for (const auto &[vm, peer] : m_relays) {
            heard += peer.live ? peer.vms : 0;
        }
        live = std::max(live, heard);
    } else if (!isNew || m_relaySelection.isServed(now)) {
        return; // the relay reports the count
    }
    if (live >= m_liveVms) {
        m_liveVmsHeldUntil = now + liveCountHoldTime;
    }
    if (live > m_liveVms || (live < m_liveVms && now >= m_liveVmsHeldUntil)) {
        m_liveVms = live;
        m_events.onLiveVms(live);
    }
}

const vm_record *fleet_node::servingRelay(instant now) const
{
    return m_relaySelection.isServed(now) ? m_membership.find(*m_relaySelection.relay()) : nullptr;
}

std::optional<std::size_t> fleet_node::dutyRank() const
{
    if (!m_relaySelection.isRelay()) {
        return std::nullopt;
    }
    const auto order = [](const vm_record &one) {
        return std::tuple(-static_cast<std::int64_t>(one.capacity), hashOf(one.vm.text()), one.vm);
    };
    // Relays whose records aren't known yet rank first.
    return std::ranges::count_if(m_relays, [this, order](const auto &entry) {
        const vm_record *record = m_membership.find(entry.first);
        return entry.second.live && (!record || order(*record) < order(m_self));
    });
}

} // namespace fuchsialoom
