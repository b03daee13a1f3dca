/// \file
/// One VM's part in telling the fleet what it does, and in knowing what the fleet does. Sans-I/O.
///
/// VMs that relay tell each other; the others tell their relay alone and hear of everybody from it. So what a VM sends
/// and receives doesn't grow with the fleet, and a word reaches every VM in three hops. The picture that a VM has of
/// the fleet is at most as old as the sum of three note intervals, or three whole-word intervals where notes are lost.
#pragma once

#include "fuchsialoom/fleet/flight_ledger.h"
#include "fuchsialoom/fleet/relay_choice.h"
#include "fuchsialoom/fleet/roster.h"
#include "fuchsialoom/fleet/words.h"

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
    std::function<peer_digest()> compose;
    std::function<flight_counts()> changedFlights; ///< own, since the last call
    /// What \p source tells of flights; \p isWhole: in place of all that it told before.
    std::function<void(const vm_id &source, const flight_counts &flights, bool isWhole)> onFlights;
    std::function<void(const vm_id &source)> onForgotten; ///< its flights count no more
    std::function<void(const vm_id &source, const std::vector<demand_entry> &demand)> onDemand;
    std::function<void(const adapter_want &want)> onWant;
    std::function<void(const residency_news &news)> onNews;
    std::function<void(milliseconds wait)> onHolder; ///< another VM holds the duty and orders after this
    std::function<void(const renounced_fence &word)> onRenounced;
    std::function<void(const vm_id &vm, std::uint64_t version)> onConfigVersion;
    std::function<void(std::size_t live)> onLiveVms; ///< of the fleet, this one among them
    std::function<void(fleet_change change, const vm_id &vm)> onChange;
};

/// Datagrams to be sent now.
struct fleet_outbox
{
    struct digest_out
    {
        peer_digest digest;
        std::vector<endpoint> to;
    };
    struct note_out
    {
        flight_note note;
        std::vector<endpoint> to;
    };
    struct relay_out
    {
        relay_word word;
        std::vector<std::pair<endpoint, flight_counts>> to; ///< with what each one is to leave out
    };

    std::vector<digest_out> digests;
    std::vector<note_out> notes;
    std::vector<relay_out> relayWords;
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
    void raiseWant(instant now, const adapter_want &want);
    void tellNews(instant now, const std::vector<residency_news> &news);
    /// Something else in the digest changed that others wait for.
    void hasten(instant now);
    /// @}

    /// When advance() has something to do next.
    instant nextAt() const;
    fleet_outbox advance(instant now);

    bool isRelay() const
    {
        return m_choice.isRelay();
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
    struct seen_word
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

    bool isNews(const word_origin &origin);
    word_origin nextOrigin();
    void onDigest(instant now, const peer_digest &digest, const endpoint &from);
    void onLeave(instant now, const vm_id &vm);
    void onNotRelay(const vm_id &vm);
    void onMemberDigest(instant now, const peer_digest &digest, const endpoint &from);
    void onRelayDigest(instant now, const peer_digest &digest, const endpoint &from);
    void onNote(instant now, const flight_note &note);
    void onRelayWord(instant now, const member_word &word);
    void takeFlights(instant now, const vm_id &source, const flight_counts &flights, bool isWhole);
    void dropSource(const vm_id &source);
    void hear(instant now, const std::optional<holder_word> &holder, bool fromMember);
    void hearNews(instant now, const std::vector<residency_news> &news, bool fromMember);
    void updateRole(instant now);
    void expire(instant now);
    void countLive(instant now);
    void hastenNote(instant now);
    std::size_t receivers() const;
    std::vector<endpoint> meshAddresses() const;
    std::vector<demand_entry> groupDemand(const std::vector<demand_entry> &own) const;
    std::optional<holder_word> holderAt(instant now) const;
    void sendRequests(fleet_outbox &out);
    void sendRequest(relay_request request, std::vector<endpoint> to, fleet_outbox &out);
    void sendWhole(instant now, fleet_outbox &out);
    void sendNotes(instant now, fleet_outbox &out);
    fleet_outbox::relay_out relayOut(instant now, bool isWhole, flight_counts flights);

    const vm_record m_self;
    const std::uint64_t m_incarnation;
    fleet_events m_events;
    roster m_roster;
    relay_choice m_choice;
    std::map<endpoint, instant> m_seeds; ///< where VMs may be or relays were told of, and until when digests go there
    std::map<vm_id, peer_state> m_relays; ///< other relays that were heard, while this VM relays
    std::map<vm_id, member_state> m_members; ///< while this VM relays
    std::map<vm_id, seen_word> m_seen; ///< the latest word of each process; bounded
    flight_ledger m_group; ///< this VM and its members
    flight_ledger m_all; ///< the whole fleet
    std::map<adapter_want, instant> m_wants; ///< of this VM and its members, and when each was last raised
    std::vector<adapter_want> m_newWants; ///< not told in a note yet
    std::map<residency_news, instant> m_news; ///< to be told to everybody for a while, and since when
    std::map<residency_news, instant> m_heardNews; ///< to be told to members alone
    std::vector<residency_news> m_freshNews; ///< of m_news, not told in a note yet
    std::vector<residency_news> m_freshHeardNews;
    std::optional<known_holder> m_holder; ///< another VM
    bool m_wasRelay = true;
    bool m_holdsDuty = false; ///< as of the latest digest; needs the words of all relays
    std::vector<endpoint> m_formerRelays; ///< to be told that they relay for this VM no more
    std::vector<endpoint> m_mistaken; ///< to be told that this VM doesn't relay
    std::vector<endpoint> m_mesh; ///< where a relay's words to other relays go, as of the latest advance()
    std::optional<vm_id> m_flightsFrom; ///< the relay whose word of all flights is counted
    std::uint64_t m_sequence = 0;
    instant m_wholeAt{};
    instant m_lastWholeAt{};
    instant m_noteAt = farFuture;
    instant m_lastNoteAt{};
    std::size_t m_liveVms = 1; ///< the most of late: a relay that is lost takes its members out of the count for a moment
    instant m_liveHeldUntil{};
};

} // namespace fuchsialoom
