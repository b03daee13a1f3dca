/// \file
/// Contents and timing of sent messages.
#include "fuchsialoom/fleet/fleet_node.h"

#include "fuchsialoom/fleet/pacing.h"

#include <algorithm>
#include <set>
#include <utility>

namespace fuchsialoom
{

/// Delay before an urgent change is sent, to batch further changes with it.
static constexpr milliseconds batchingDelay{4};
/// How long an adapter request stays valid after requests last waited for the adapter.
static constexpr milliseconds adapterRequestLifetime{400};
/// How long a residency change is repeated, since datagrams may be lost.
static constexpr milliseconds residencyRepeatTime{1000};
/// Bound on the demand entries of a digest, which keeps the largest: they fit beside the in-flight counts of all targets.
static constexpr std::size_t maxDemandEntries = 500;

message_origin fleet_node::nextOrigin()
{
    m_sequence += 1;
    return {m_self.vm, m_incarnation, m_sequence};
}

void fleet_node::scheduleEarlyDigest(instant now)
{
    const instant soonest = m_lastDigestAt + pacing::digestInterval(receiverCount()) / 2;
    m_nextDigestAt = std::min(m_nextDigestAt, std::max(now + batchingDelay, soonest));
}

void fleet_node::scheduleDelta(instant now)
{
    if (m_nextDeltaAt == farFuture) {
        const milliseconds spacing = pacing::deltaInterval(receiverCount(), m_self.capacity);
        m_nextDeltaAt = std::max(now + pacing::deltaInterval(1, m_self.capacity), m_lastDeltaAt + spacing);
    }
}

void fleet_node::onInFlightChanged(instant now)
{
    scheduleDelta(now);
}

void fleet_node::broadcastAdapterRequest(instant now, const adapter_request &adapterRequest)
{
    const auto [found, isNew] = m_adapterRequests.insert_or_assign(adapterRequest, now);
    if (isNew) {
        m_unsentAdapterRequests.push_back(adapterRequest);
        scheduleDelta(now);
    }
}

void fleet_node::broadcastResidencyChanges(instant now, const std::vector<residency_change> &residencyChanges)
{
    for (const residency_change &one : residencyChanges) {
        withdrawOpposite(one);
        m_residencyChanges[one] = now;
        m_unsentChanges.push_back(one);
    }
    scheduleDelta(now);
}

void fleet_node::broadcastCrashNews(instant now, const crash_news &news)
{
    m_crashNews.add(now, news, true);
    scheduleDelta(now);
}

void fleet_node::forwardCrashNews(instant now, const crash_news &news)
{
    if (!m_members.empty() && !news.isEmpty()) {
        m_crashNews.add(now, news, false);
        scheduleDelta(now);
    }
}

instant fleet_node::nextAt() const
{
    const instant heartbeatAt = m_relaySelection.isRelay() ? m_lastDeltaAt + pacing::heartbeatInterval : farFuture;
    return std::min({m_nextDigestAt, m_nextDeltaAt, heartbeatAt});
}

std::size_t fleet_node::receiverCount() const
{
    return m_relaySelection.isRelay() ? m_members.size() + m_relayAddresses.size() : 1;
}

/// \return the addresses of the ranked relays of all domains, of other VMs that act as relays, and of possible VMs.
std::vector<endpoint> fleet_node::relayAddresses() const
{
    std::set<endpoint> addresses;
    for (const domain_id &domain : m_membership.domains()) {
        for (const vm_record &record : m_membership.relaysOf(domain)) {
            addresses.insert(record.address);
        }
    }
    for (const auto &[vm, peer] : m_relays) {
        addresses.insert(peer.address);
    }
    for (const auto &[address, until] : m_seeds) {
        addresses.insert(address);
    }
    for (const auto &[vm, member] : m_members) {
        addresses.erase(member.address);
    }
    addresses.erase(m_self.address);
    return {addresses.begin(), addresses.end()};
}

std::vector<demand_entry> fleet_node::groupDemand(const std::vector<demand_entry> &own) const
{
    std::map<std::pair<model_id, adapter_id>, demand_entry> totals;
    const auto add = [&totals](const std::vector<demand_entry> &entries) {
        for (const demand_entry &entry : entries) {
            demand_entry &sum = totals[{entry.model, entry.adapter}];
            sum.model = entry.model;
            sum.adapter = entry.adapter;
            sum.arrivals += entry.arrivals;
            sum.waiting += entry.waiting;
            sum.running += entry.running;
        }
    };
    add(own);
    for (const auto &[vm, member] : m_members) {
        add(member.demand);
    }
    std::vector<demand_entry> entries;
    entries.reserve(totals.size());
    for (const auto &[key, sum] : totals) {
        entries.push_back(sum);
    }
    if (entries.size() > maxDemandEntries) {
        std::ranges::stable_sort(entries, std::ranges::greater(), [](const demand_entry &entry) {
            return entry.waiting + entry.running;
        });
        entries.resize(maxDemandEntries);
    }
    return entries;
}

std::optional<holder_announcement> fleet_node::holderAt(instant now) const
{
    if (!m_holder || now >= m_holder->until) {
        return std::nullopt;
    }
    const auto wait = std::chrono::duration_cast<milliseconds>(m_holder->ordersFrom - now);
    return holder_announcement{m_holder->fence, std::max(milliseconds(0), wait)};
}

template<typename Key>
static std::vector<Key> keysOf(const std::map<Key, instant> &entries)
{
    std::vector<Key> keys;
    keys.reserve(entries.size());
    for (const auto &[key, since] : entries) {
        keys.push_back(key);
    }
    return keys;
}

fleet_outbox::outgoing_relay_update
fleet_node::makeRelayUpdate(instant now, bool isFull, in_flight_counts inFlight, std::vector<team_balance> balances)
{
    fleet_outbox::outgoing_relay_update out;
    out.message.origin = nextOrigin();
    out.message.isFull = isFull;
    out.message.nextWithin = pacing::digestInterval(receiverCount());
    out.message.liveVms = static_cast<std::uint32_t>(m_liveVms);
    out.message.holder = holderAt(now);
    out.message.inFlight = std::move(inFlight);
    out.message.balances = std::move(balances);
    out.message.reach = m_quotas.share();
    for (const auto &[vm, member] : m_members) {
        out.to.emplace_back(member.address, receiver_part{m_groupInFlight.reportedBy(vm), m_quotaExchange.reportedBy(vm)});
    }
    return out;
}

void fleet_node::sendRelayRequest(relay_request request, std::vector<endpoint> to, fleet_outbox &out)
{
    if (to.empty()) {
        return;
    }
    peer_digest digest;
    digest.origin = nextOrigin();
    digest.request = request;
    out.digests.push_back({std::move(digest), std::move(to)});
}

/// Without these requests, other VMs would count this VM's in-flight requests twice until one of its reports expires.
void fleet_node::sendRelayRequests(fleet_outbox &out)
{
    sendRelayRequest(relay_request::Leave, std::exchange(m_formerRelays, {}), out);
    sendRelayRequest(relay_request::NotRelay, std::exchange(m_notRelayReceivers, {}), out);
}

template<typename Key>
std::vector<Key> fleet_node::ofGroup(const source_reports<Key> &reports) const
{
    std::vector<Key> group = reports.of(m_self.vm);
    for (const auto &[vm, member] : m_members) {
        for (Key &key : reports.of(vm)) {
            if (std::ranges::find(group, key) == group.end()) {
                group.push_back(std::move(key));
            }
        }
    }
    return group;
}

void fleet_node::sendDigests(instant now, fleet_outbox &out)
{
    std::erase_if(m_adapterRequests, [now](const auto &entry) {
        return now - entry.second > adapterRequestLifetime;
    });
    for (auto *changes : {&m_residencyChanges, &m_changesForMembers}) {
        std::erase_if(*changes, [now](const auto &entry) {
            return now - entry.second > residencyRepeatTime;
        });
    }
    peer_digest digest = m_events.makeDigest();
    m_events.takeChangedInFlight(); // discarded, since the digest contains them
    m_holdsDuty = digest.holder.has_value();
    digest.nextWithin = pacing::digestInterval(receiverCount());
    digest.adapterRequests = keysOf(m_adapterRequests);
    digest.residencyChanges = keysOf(m_residencyChanges);
    digest.spending = m_relaySelection.isRelay() ? m_quotaExchange.groupSpending() : m_quotas.spending();
    m_events.onDemandReport(m_self.vm, digest.demand);
    m_groupInFlight.set(now, m_self.vm, digest.inFlight);
    m_fleetInFlight.set(now, m_self.vm, digest.inFlight);
    m_pathReports.put(m_self.vm, digest.withoutPath);
    if (m_brittleReports.put(m_self.vm, digest.brittle)) {
        m_events.onBrittleServices(m_brittleReports.all());
    }
    m_unsentAdapterRequests.clear();
    m_unsentChanges.clear();
    m_unsentChangesForMembers.clear();
    if (m_members.empty()) {
        m_crashNews.discard(crash_outbox::channel::Members);
    }
    digest.crashes = m_crashNews.take(now, crash_outbox::channel::Relays, false);
    if (!m_relaySelection.isRelay()) {
        digest.origin = nextOrigin();
        digest.request = relay_request::Relay;
        if (const vm_record *relay = m_membership.find(*m_relaySelection.relay())) {
            out.digests.push_back({std::move(digest), {relay->address}});
        }
        return;
    }
    if (!m_members.empty()) {
        fleet_outbox::outgoing_relay_update toMembers = makeRelayUpdate(now, true, m_fleetInFlight.totals(), m_quotas.balances(now, false));
        toMembers.message.leaving = digest.leaving;
        toMembers.message.configVersion = digest.configVersion;
        if (digest.holder) {
            toMembers.message.holder = digest.holder;
        }
        toMembers.message.residencyChanges = keysOf(m_residencyChanges);
        for (const residency_change &one : keysOf(m_changesForMembers)) {
            toMembers.message.residencyChanges.push_back(one);
        }
        toMembers.message.crashes = m_crashNews.take(now, crash_outbox::channel::Members, false);
        toMembers.message.withoutPath = m_pathReports.all();
        toMembers.message.brittle = m_brittleReports.all();
        for (const vm_record &one : liveRelays()) {
            if (one.domain == m_self.domain) {
                toMembers.message.relays.push_back(one.vm);
            }
        }
        out.relayUpdates.push_back(std::move(toMembers));
    }
    for (const auto &[vm, peer] : m_relays) {
        if (peer.live) {
            digest.relays.push_back(peer.address);
        }
    }
    if (!digest.holder && m_holder && m_holder->isMember) {
        digest.holder = holderAt(now);
    }
    digest.origin = nextOrigin();
    digest.vms = static_cast<std::uint32_t>(1 + m_members.size());
    digest.demand = groupDemand(digest.demand);
    digest.withoutPath = ofGroup(m_pathReports);
    digest.brittle = ofGroup(m_brittleReports);
    digest.inFlight = m_groupInFlight.totals();
    m_groupInFlight.takeChanged();
    m_fleetInFlight.takeChanged();
    out.digests.push_back({std::move(digest), m_relayAddresses});
}

void fleet_node::sendDeltas(instant now, fleet_outbox &out)
{
    const in_flight_counts own = m_events.takeChangedInFlight();
    if (!m_relaySelection.isRelay()) {
        const vm_record *relay = m_membership.find(*m_relaySelection.relay());
        delta_message delta;
        delta.changed = own;
        delta.adapterRequests = std::exchange(m_unsentAdapterRequests, {});
        delta.residencyChanges = std::exchange(m_unsentChanges, {});
        delta.spending = m_quotas.takeUrgentSpending(now);
        delta.crashes = m_crashNews.take(now, crash_outbox::channel::Relays, true);
        const bool isEmpty = delta.changed.empty() && delta.adapterRequests.empty() && delta.residencyChanges.empty()
            && delta.spending.empty() && delta.crashes.isEmpty();
        if (relay && !isEmpty) {
            delta.origin = nextOrigin();
            out.deltas.push_back({std::move(delta), {relay->address}});
        }
        return;
    }
    m_groupInFlight.change(now, m_self.vm, own);
    m_fleetInFlight.change(now, m_self.vm, own);
    in_flight_counts changed = m_fleetInFlight.takeChanged();
    std::vector<residency_change> changesForMembers = std::exchange(m_unsentChangesForMembers, {});
    std::vector<team_balance> tight = m_members.empty() ? std::vector<team_balance>() : m_quotas.balances(now, true);
    crash_news crashesForMembers = m_members.empty() ? crash_news() : m_crashNews.take(now, crash_outbox::channel::Members, true);
    const bool hasNewsForMembers =
        !changed.empty() || !changesForMembers.empty() || !m_unsentChanges.empty() || !tight.empty() || !crashesForMembers.isEmpty();
    if (!m_members.empty() && hasNewsForMembers) {
        fleet_outbox::outgoing_relay_update toMembers = makeRelayUpdate(now, false, std::move(changed), std::move(tight));
        toMembers.message.residencyChanges = std::move(changesForMembers);
        toMembers.message.residencyChanges.insert(toMembers.message.residencyChanges.end(), m_unsentChanges.begin(), m_unsentChanges.end());
        toMembers.message.crashes = std::move(crashesForMembers);
        out.relayUpdates.push_back(std::move(toMembers));
    }
    delta_message delta;
    delta.origin = nextOrigin();
    delta.changed = m_groupInFlight.takeChanged();
    delta.adapterRequests = std::exchange(m_unsentAdapterRequests, {});
    delta.residencyChanges = std::exchange(m_unsentChanges, {});
    delta.spending = m_quotaExchange.takeUrgentGroupSpending(now);
    delta.crashes = m_crashNews.take(now, crash_outbox::channel::Relays, true);
    out.deltas.push_back({std::move(delta), m_relayAddresses}); // serves as a heartbeat if it is empty
}

fleet_outbox fleet_node::advance(instant now)
{
    fleet_outbox out;
    expire(now);
    updateRole(now);
    m_relayAddresses = m_relaySelection.isRelay() ? relayAddresses() : std::vector<endpoint>();
    sendRelayRequests(out);
    if (now >= m_nextDigestAt) {
        sendDigests(now, out);
        m_lastDigestAt = now;
        m_nextDigestAt = now + pacing::digestInterval(receiverCount());
        m_nextDeltaAt = farFuture;
        m_lastDeltaAt = now;
    } else if (now >= nextAt()) {
        m_nextDeltaAt = farFuture;
        sendDeltas(now, out);
        m_lastDeltaAt = now;
    }
    return out;
}

} // namespace fuchsialoom
