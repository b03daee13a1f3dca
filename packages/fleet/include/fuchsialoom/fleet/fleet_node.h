/// \file
/// One VM's participation in the exchange of state (in-flight requests, demand, residency, membership) between the VMs
/// of the fleet. Sans-I/O.
///
/// Relays exchange messages with each other. Every other VM is a member of one relay: it sends to that relay only and
/// receives the state of the whole fleet from it. This bounds the traffic of a VM independently of the fleet's size, and
/// an update reaches every VM in three hops. A VM's view of the fleet is at most three delta intervals old, or three
/// digest intervals where deltas are lost.
#pragma once

#include "fuchsialoom/fleet/in_flight_tracker.h"
#include "fuchsialoom/fleet/membership_view.h"
#include "fuchsialoom/fleet/messages.h"
#include "fuchsialoom/fleet/path_reports.h"
#include "fuchsialoom/fleet/quota_exchange.h"
#include "fuchsialoom/fleet/relay_selection.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace fuchsialoom
{

/// Changes of the fleet that are reported to operators.
enum class fleet_change {
    RelayHeard, ///< another relay was heard
    RelaySilent, ///< another relay exceeded its suspect timeout
    MemberJoined, ///< this VM now relays for another
    MemberSilent,
    BecameRelay,
    BecameMember,
    RelayChosen, ///< this VM now sends to this relay
};

template<>
struct name_table<fleet_change>
{
    static constexpr auto entries = std::to_array<enum_name<fleet_change>>({
        {fleet_change::RelayHeard, "relay-heard"},
        {fleet_change::RelaySilent, "relay-silent"},
        {fleet_change::MemberJoined, "member-joined"},
        {fleet_change::MemberSilent, "member-silent"},
        {fleet_change::BecameRelay, "became-relay"},
        {fleet_change::BecameMember, "became-member"},
        {fleet_change::RelayChosen, "relay-chosen"},
    });
};

/// Callbacks from a fleet_node to its host.
struct fleet_events
{
    /// \return a digest with this VM's configuration version, held fence, in-flight requests, demand, whether it is stopping,
    /// and the fence it renounced.
    std::function<peer_digest()> makeDigest;
    std::function<in_flight_counts()> takeChangedInFlight; ///< this VM's own, since the last call
    /// In-flight counts reported by \p source. \p isFull: they replace all its earlier counts; else they update them.
    std::function<void(const vm_id &source, const in_flight_counts &inFlight, bool isFull)> onInFlightCounts;
    std::function<void(const vm_id &source)> onSourceRemoved; ///< its in-flight counts no longer apply
    std::function<void(const vm_id &source, const std::vector<demand_entry> &demand)> onDemandReport;
    std::function<void(const adapter_request &adapterRequest)> onAdapterRequest; ///< requests at another VM are waiting for an adapter
    std::function<void(const residency_change &change)> onResidencyChange;
    std::function<void(milliseconds wait)> onHolderAnnounced; ///< another VM holds the duty and sends orders only after \p wait
    std::function<void(const renounced_fence &fence)> onRenounced;
    std::function<void(const vm_id &vm, std::uint64_t version)> onConfigVersion;
    std::function<void(std::size_t live)> onLiveVms; ///< in the fleet, including this one
    std::function<void(fleet_change change, const vm_id &vm)> onChange;
    std::function<crash_news(const crash_news &news)> onCrashNews; ///< \return the part that this VM didn't know
    /// \p services: all whose targets have told some VM of the fleet, as far as this one hears, that they are brittle.
    std::function<void(const std::vector<service_id> &services)> onBrittleServices;
    std::function<crash_news()> knownCrashes; ///< everything that a VM which knows nothing has to hear
};

/// Datagrams to send now.
struct fleet_outbox
{
    struct outgoing_digest
    {
        peer_digest digest;
        std::vector<endpoint> to;
    };
    struct outgoing_delta
    {
        delta_message delta;
        std::vector<endpoint> to;
    };
    struct outgoing_relay_update
    {
        relay_update message;
        std::vector<std::pair<endpoint, receiver_part>> to;
    };

    std::vector<outgoing_digest> digests;
    std::vector<outgoing_delta> deltas;
    std::vector<outgoing_relay_update> relayUpdates;
};

/// Another VM that may serve requests of this one.
struct fleet_peer
{
    vm_record record;
    bool hasPath = true; ///< false: it says that it reaches no target
};

class fleet_node
{
public:
    /// \p quotas: of this VM; outlives the node.
    fleet_node(vm_record self, std::uint64_t incarnation, team_quotas &quotas, fleet_events events);

    /// Adds the record of a registered VM.
    void addRecord(instant now, vm_record record);
    /// Adds the address of a possible VM whose record isn't known.
    void addSeed(instant now, const endpoint &address);

    void onDatagram(instant now, const peer_datagram &datagram, const endpoint &from);

    /// \name Changes of this VM's state to send to others.
    /// @{
    /// This VM's in-flight counts, or what it spent for teams, changed.
    void onInFlightChanged(instant now);
    /// Requests are waiting for an adapter.
    void broadcastAdapterRequest(instant now, const adapter_request &adapterRequest);
    /// What is resident at targets changed.
    void broadcastResidencyChanges(instant now, const std::vector<residency_change> &residencyChanges);
    /// Tells every VM of crashed targets and quarantines that this VM found.
    void broadcastCrashNews(instant now, const crash_news &news);
    /// Tells this VM's members of quarantines that every relay reads for itself.
    void forwardCrashNews(instant now, const crash_news &news);
    /// Schedules an early digest, since something else in it changed that other VMs wait for.
    void scheduleEarlyDigest(instant now);
    /// @}

    /// When advance() is due next.
    instant nextAt() const;
    fleet_outbox advance(instant now);

    bool isRelay() const
    {
        return m_relaySelection.isRelay();
    }
    /// The record of this VM's relay, while the relay answers; else null.
    const vm_record *servingRelay(instant now) const;
    /// Other relays that are within their suspect timeout.
    std::vector<vm_record> liveRelays() const;
    /// The relays that this VM may ask, which may not answer where it is a member; in an order of its own, so that VMs spread over them.
    std::vector<vm_record> relaysToAsk() const;
    /// The other VMs that are heard or, where this VM hears few of the fleet itself, all that have registered, some of which may have
    /// ended.
    std::vector<fleet_peer> peers() const;
    std::size_t memberCount() const
    {
        return m_members.size();
    }
    std::size_t liveVms() const
    {
        return m_liveVms;
    }
    /// This VM's rank, from 0, among the live relays, which are the candidates for the duty; nothing if it isn't a relay.
    std::optional<std::size_t> dutyRank() const;

private:
    struct peer_state
    {
        endpoint address;
        std::uint32_t vms = 1;
        instant heardAt{};
        instant silentAt{}; ///< end of the suspect timeout
        milliseconds nextWithin{0}; ///< as announced in its latest digest
        bool live = true;
    };
    struct member_state
    {
        endpoint address;
        instant heardAt{};
        milliseconds nextWithin{0}; ///< as announced in its latest digest
        instant silentAt{};
        std::vector<demand_entry> demand;
    };
    struct last_message
    {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
    };
    struct known_holder
    {
        std::uint64_t fence = 0;
        instant ordersFrom{};
        bool isMember = false; ///< the holder is a member of this VM, so that only this VM's digests announce it to other relays
        instant until{}; ///< expiry of this announcement
    };

    bool acceptMessage(const message_origin &origin);
    message_origin nextOrigin();
    void onDigest(instant now, const peer_digest &digest, const endpoint &from);
    void onLeave(instant now, const vm_id &vm);
    void onNotRelay(const vm_id &vm);
    void onMemberDigest(instant now, const peer_digest &digest, const endpoint &from);
    void onRelayDigest(instant now, const peer_digest &digest, const endpoint &from);
    void onDelta(instant now, const delta_message &delta);
    void onRelayUpdate(instant now, const member_update &update);
    void applyInFlight(instant now, const vm_id &source, const in_flight_counts &inFlight, bool isFull);
    void removeSource(const vm_id &source);
    void updateHolder(instant now, const std::optional<holder_announcement> &holder, bool fromMember);
    void applyResidencyChanges(instant now, const std::vector<residency_change> &residencyChanges, bool fromMember);
    void applyCrashNews(instant now, const crash_news &news, bool fromMember);
    /// Repeats everything that this VM knows, for a VM that was just heard and may know nothing of it.
    void repeatCrashNews(instant now);
    void applyPathReport(instant now, const vm_id &source, const std::vector<vm_key> &withoutPath);
    void applyBrittleReport(instant now, const vm_id &source, const std::vector<service_id> &services);
    /// What this VM and its members report.
    template<typename Key>
    std::vector<Key> ofGroup(const source_reports<Key> &reports) const;
    std::vector<vm_record> heardOrRegistered() const;
    void withdrawOpposite(const residency_change &residencyChange);
    void updateRole(instant now);
    void expire(instant now);
    void updateLiveVms(instant now);
    /// Recomputes the share of the teams' quotas that this VM may use.
    void updateReach(instant now);
    std::size_t reachedVms(instant now) const;
    void scheduleDelta(instant now);
    std::size_t receiverCount() const;
    std::vector<endpoint> relayAddresses() const;
    std::vector<demand_entry> groupDemand(const std::vector<demand_entry> &own) const;
    std::optional<holder_announcement> holderAt(instant now) const;
    void sendRelayRequests(fleet_outbox &out);
    void sendRelayRequest(relay_request request, std::vector<endpoint> to, fleet_outbox &out);
    void sendDigests(instant now, fleet_outbox &out);
    void sendDeltas(instant now, fleet_outbox &out);
    fleet_outbox::outgoing_relay_update
    makeRelayUpdate(instant now, bool isFull, in_flight_counts inFlight, std::vector<team_balance> balances);

    const vm_record m_self;
    const std::uint64_t m_incarnation;
    fleet_events m_events;
    membership_view m_membership;
    relay_selection m_relaySelection;
    std::map<endpoint, instant> m_seeds; ///< addresses of possible VMs and of reported relays, with their expiry
    std::map<vm_id, peer_state> m_relays; ///< other relays that were heard; used while this VM relays
    std::map<vm_id, member_state> m_members; ///< used while this VM relays
    std::map<vm_id, last_message> m_lastMessages; ///< latest message of each VM, to reject duplicates and reordered ones; bounded
    in_flight_tracker m_groupInFlight; ///< of this VM and its members
    in_flight_tracker m_fleetInFlight; ///< of the whole fleet
    team_quotas &m_quotas;
    quota_exchange m_quotaExchange;
    std::optional<reach_estimate> m_reach; ///< set by the first advance()
    instant m_relayHeardAt{}; ///< while this VM is a member
    milliseconds m_relayNextWithin{0}; ///< as its relay announced
    std::map<adapter_request, instant> m_adapterRequests; ///< of this VM and its members, with the time of the latest request
    std::vector<adapter_request> m_unsentAdapterRequests; ///< not yet sent in a delta
    std::map<residency_change, instant> m_residencyChanges; ///< to repeat to all receivers for a while, with the start time
    std::map<residency_change, instant> m_changesForMembers; ///< from other relays, to forward to members only, with the start time
    std::vector<residency_change> m_unsentChanges; ///< of m_residencyChanges, not yet sent in a delta
    std::vector<residency_change> m_unsentChangesForMembers;
    crash_outbox m_crashNews;
    path_reports m_pathReports; ///< by this VM, its members and other relays; at a member by its relay, for the whole fleet
    source_reports<service_id> m_brittleReports; ///< the same of services with brittle targets
    std::optional<known_holder> m_holder; ///< if it is another VM
    bool m_wasRelay = true;
    bool m_holdsDuty = false; ///< as of the latest digest; a holder stays a relay, since it needs the messages of all relays
    std::vector<endpoint> m_formerRelays; ///< to receive a Leave request
    std::vector<endpoint> m_notRelayReceivers; ///< to receive a NotRelay request
    std::vector<endpoint> m_relayAddresses; ///< receivers of a relay's messages to other relays, as of the latest advance()
    std::optional<vm_id> m_inFlightSource; ///< the relay whose totals of the fleet's in-flight requests are used
    std::uint64_t m_sequence = 0;
    instant m_nextDigestAt{};
    instant m_lastDigestAt{};
    instant m_nextDeltaAt = farFuture;
    instant m_lastDeltaAt{};
    std::size_t m_liveVms = 1; ///< recent maximum: when a relay fails, its members briefly drop out of the count
    instant m_liveVmsHeldUntil{};
    std::optional<instant> m_countsRegisteredUntil; ///< until then, all registered VMs may live; set by the first record of another VM
};

} // namespace fuchsialoom
