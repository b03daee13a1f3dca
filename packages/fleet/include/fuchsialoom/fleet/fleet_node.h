/// \file
/// One VM's part in telling the fleet what it does, and in knowing what the fleet does. Sans-I/O.
///
/// VMs that relay tell each other; the others tell their relay alone and hear of everybody from it. So what a VM sends
/// and receives doesn't grow with the fleet, and a word reaches every VM in three hops. The picture that a VM has of
/// the fleet is at most as old as the sum of three note intervals, or three whole-word intervals where notes are lost.
#pragma once

#include "fuchsialoom/fleet/in_flight_tracker.h"
#include "fuchsialoom/fleet/relay_selection.h"
#include "fuchsialoom/fleet/membership_view.h"
#include "fuchsialoom/fleet/messages.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace fuchsialoom
{

/// What an operator is told of the fleet.
enum class fleet_change {
    RelayHeard, ///< another relay is there
    RelaySilent, ///< another relay counts as gone
    MemberJoined, ///< this VM relays for another
    MemberSilent,
    BecameRelay,
    BecameMember,
    RelayChosen, ///< this VM's words go to this relay now
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

/// What the host of a fleet_node tells and is told.
struct fleet_events
{
    /// This VM's own configuration version, holder, flights and demand, whether it stops, what it renounced.
    std::function<peer_digest()> makeDigest;
    std::function<in_flight_counts()> takeChangedInFlight; ///< own, since the last call
    /// What \p source tells of flights; \p isFull: in place of all that it told before.
    std::function<void(const vm_id &source, const in_flight_counts &inFlight, bool isFull)> onFlights;
    std::function<void(const vm_id &source)> onSourceRemoved; ///< its flights count no more
    std::function<void(const vm_id &source, const std::vector<demand_entry> &demand)> onDemand;
    std::function<void(const adapter_request &adapterRequest)> onWant;
    std::function<void(const residency_change &residencyChanges)> onResidencyChange;
    std::function<void(milliseconds wait)> onHolderAnnounced; ///< another VM holds the duty and orders after this
    std::function<void(const renounced_fence &message)> onRenounced;
    std::function<void(const vm_id &vm, std::uint64_t version)> onConfigVersion;
    std::function<void(std::size_t live)> onLiveVms; ///< of the fleet, this one among them
    std::function<void(fleet_change change, const vm_id &vm)> onChange;
};

/// Datagrams to be sent now.
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
        std::vector<std::pair<endpoint, in_flight_counts>> to; ///< with what each one is to leave out
    };

    std::vector<outgoing_digest> digests;
    std::vector<outgoing_delta> deltas;
    std::vector<outgoing_relay_update> relayUpdates;
};

class fleet_node
{
public:
    fleet_node(vm_record self, std::uint64_t incarnation, fleet_events events);

    /// A VM has registered.
    void know(instant now, vm_record record);
    /// An address where a VM may be, whose record isn't known.
    void addSeed(instant now, const endpoint &address);

    void onDatagram(instant now, const peer_datagram &datagram, const endpoint &from);

    /// \name What this VM has to tell.
    /// @{
    /// Flights changed.
    void noteFlights(instant now);
    void raiseWant(instant now, const adapter_request &adapterRequest);
    void tellNews(instant now, const std::vector<residency_change> &residencyChanges);
    /// Something else in the digest changed that others wait for.
    void hasten(instant now);
    /// @}

    /// When advance() has something to do next.
    instant nextAt() const;
    fleet_outbox advance(instant now);

    bool isRelay() const
    {
        return m_relaySelection.isRelay();
    }
    /// The record of the VM that relays for this one, while it does.
    const vm_record *servingRelay(instant now) const;
    /// Other relays that are heard.
    std::vector<vm_record> liveRelays() const;
    std::size_t memberCount() const
    {
        return m_members.size();
    }
    std::size_t liveVms() const
    {
        return m_liveVms;
    }
    /// This VM's place among those that may hold the duty, which are the relays; the first place is 0.
    std::optional<std::size_t> dutyRank() const;

private:
    struct peer_state
    {
        endpoint address;
        std::uint32_t vms = 1;
        instant heardAt{};
        instant silentAt{}; ///< counts as gone from here on
        bool live = true;
    };
    struct member_state
    {
        endpoint address;
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
        bool isMember = false; ///< of this VM, so that other relays hear of it from here alone
        instant until{}; ///< the word counts no more from here on
    };

    bool acceptMessage(const message_origin &origin);
    message_origin nextOrigin();
    void onDigest(instant now, const peer_digest &digest, const endpoint &from);
    void onLeave(instant now, const vm_id &vm);
    void onNotRelay(const vm_id &vm);
    void onMemberDigest(instant now, const peer_digest &digest, const endpoint &from);
    void onRelayDigest(instant now, const peer_digest &digest, const endpoint &from);
    void onDelta(instant now, const delta_message &delta);
    void onRelayUpdate(instant now, const member_update &message);
    void applyInFlight(instant now, const vm_id &source, const in_flight_counts &inFlight, bool isFull);
    void removeSource(const vm_id &source);
    void updateHolder(instant now, const std::optional<holder_announcement> &holder, bool fromMember);
    void applyResidencyChanges(instant now, const std::vector<residency_change> &residencyChanges, bool fromMember);
    void updateRole(instant now);
    void expire(instant now);
    void updateLiveVms(instant now);
    void scheduleDelta(instant now);
    std::size_t receiverCount() const;
    std::vector<endpoint> relayAddresses() const;
    std::vector<demand_entry> groupDemand(const std::vector<demand_entry> &own) const;
    std::optional<holder_announcement> holderAt(instant now) const;
    void sendRelayRequests(fleet_outbox &out);
    void sendRelayRequest(relay_request request, std::vector<endpoint> to, fleet_outbox &out);
    void sendDigests(instant now, fleet_outbox &out);
    void sendDeltas(instant now, fleet_outbox &out);
    fleet_outbox::outgoing_relay_update makeRelayUpdate(instant now, bool isFull, in_flight_counts inFlight);

    const vm_record m_self;
    const std::uint64_t m_incarnation;
    fleet_events m_events;
    membership_view m_membership;
    relay_selection m_relaySelection;
    std::map<endpoint, instant> m_seeds; ///< where VMs may be or relays were told of, and until when digests go there
    std::map<vm_id, peer_state> m_relays; ///< other relays that were heard, while this VM relays
    std::map<vm_id, member_state> m_members; ///< while this VM relays
    std::map<vm_id, last_message> m_lastMessages; ///< the latest word of each process; bounded
    in_flight_tracker m_groupInFlight; ///< this VM and its members
    in_flight_tracker m_fleetInFlight; ///< the whole fleet
    std::map<adapter_request, instant> m_adapterRequests; ///< of this VM and its members, and when each was last raised
    std::vector<adapter_request> m_unsentAdapterRequests; ///< not told in a note yet
    std::map<residency_change, instant> m_residencyChanges; ///< to be told to everybody for a while, and since when
    std::map<residency_change, instant> m_changesForMembers; ///< to be told to members alone
    std::vector<residency_change> m_unsentChanges; ///< of m_residencyChanges, not told in a note yet
    std::vector<residency_change> m_unsentChangesForMembers;
    std::optional<known_holder> m_holder; ///< another VM
    bool m_wasRelay = true;
    bool m_holdsDuty = false; ///< as of the latest digest; needs the words of all relays
    std::vector<endpoint> m_formerRelays; ///< to be told that they relay for this VM no more
    std::vector<endpoint> m_notRelayReceivers; ///< to be told that this VM doesn't relay
    std::vector<endpoint> m_relayAddresses; ///< where a relay's words to other relays go, as of the latest advance()
    std::optional<vm_id> m_inFlightSource; ///< the relay whose word of all flights is counted
    std::uint64_t m_sequence = 0;
    instant m_nextDigestAt{};
    instant m_lastDigestAt{};
    instant m_nextDeltaAt = farFuture;
    instant m_lastDeltaAt{};
    std::size_t m_liveVms = 1; ///< the most of late: a relay that is lost takes its members out of the count for a moment
    instant m_liveVmsHeldUntil{};
};

} // namespace fuchsialoom
