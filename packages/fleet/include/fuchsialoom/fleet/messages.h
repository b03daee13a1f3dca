/// \file
/// What VMs tell each other in datagrams. Datagrams may be lost, come twice or late; a later one replaces an earlier
/// one of the same process.
///
/// A VM that relays speaks for itself and its members: to other relays with digests and notes, to its members with
/// relay words. A member sends its own digests and notes to its relay alone.
#pragma once

#include "fuchsialoom/core/targets.h"
#include "fuchsialoom/fleet/in_flight.h"
#include "fuchsialoom/support/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace fuchsialoom
{

/// What VMs are asked for of one model or adapter right now.
struct demand_entry
{
    model_id model;
    adapter_id adapter; ///< empty: all requests of the model
    std::uint64_t arrivals = 0; ///< since the VM's start
    std::uint32_t waiting = 0;
    std::uint32_t running = 0;

    friend bool operator==(const demand_entry &, const demand_entry &) = default;
};

/// Requests wait for an adapter that no target with room holds.
struct adapter_request
{
    service_id service;
    model_id model;
    adapter_id adapter;

    friend auto operator<=>(const adapter_request &, const adapter_request &) = default;
};

/// What a target holds changed, by word of the VM that ordered it; or its host refused a VM's connection, so that no
/// process is there.
struct residency_change
{
    target_id target;
    model_id model; ///< empty: the target itself
    adapter_id adapter; ///< empty: the model itself
    bool present = true;

    friend auto operator<=>(const residency_change &, const residency_change &) = default;
};

/// A holder's word that it orders no more under a fence.
struct renounced_fence
{
    std::uint64_t fence = 0;
    milliseconds sinceLastOrder{0}; ///< at least so long ago it ordered last

    friend bool operator==(const renounced_fence &, const renounced_fence &) = default;
};

/// Some VM holds the duty of ordering what targets hold.
struct holder_announcement
{
    std::uint64_t fence = 0;
    milliseconds wait{0}; ///< it orders only after this

    friend bool operator==(const holder_announcement &, const holder_announcement &) = default;
};

/// Who sends a datagram, and where it stands among the sender's others.
struct message_origin
{
    vm_id vm;
    std::uint64_t incarnation = 0; ///< of the sending process; grows with its restarts
    std::uint64_t sequence = 0; ///< grows with every datagram of a process

    friend bool operator==(const message_origin &, const message_origin &) = default;
};

/// What the sender of a digest wants of its receiver.
enum class relay_request {
    None, ///< both relay
    Relay, ///< the receiver is to relay for the sender
    Leave, ///< no more to relay for the sender, who has another relay
    NotRelay, ///< not to count the sender as a relay
};

/// The whole word of a VM, or of a relay with its members.
struct peer_digest
{
    message_origin origin;
    relay_request request = relay_request::None;
    std::uint32_t vms = 1; ///< that the word speaks for
    milliseconds nextWithin{0}; ///< the sender's next digest comes within this
    std::uint64_t configVersion = 0; ///< in force at the sender; 0: none
    bool leaving = false; ///< the sender stops
    std::optional<holder_announcement> holder; ///< the sender, or a VM that it speaks for
    std::optional<renounced_fence> renounced; ///< set by a VM whose term as holder ended
    in_flight_counts inFlight;
    std::vector<demand_entry> demand;
    std::vector<adapter_request> adapterRequests;
    std::vector<residency_change> residencyChanges;
    std::vector<endpoint> relays; ///< other relays that the sender hears, so that all of them know each other

    friend bool operator==(const peer_digest &, const peer_digest &) = default;
};

/// What changed since a sender's last word, for choices that are made within milliseconds.
struct delta_message
{
    message_origin origin;
    in_flight_counts changed; ///< zeros among them
    std::vector<adapter_request> adapterRequests;
    std::vector<residency_change> residencyChanges;

    friend bool operator==(const delta_message &, const delta_message &) = default;
};

/// What a relay tells all its members alike.
struct relay_update
{
    message_origin origin;
    bool isFull = false; ///< `flights` tells of all targets, else of those that changed
    bool leaving = false; ///< the relay stops
    milliseconds nextWithin{0}; ///< the next whole one comes within this
    std::uint32_t liveVms = 1; ///< of the whole fleet, as far as the relay knows
    std::uint64_t configVersion = 0;
    std::optional<holder_announcement> holder;
    std::vector<residency_change> residencyChanges;
    std::vector<vm_id> relays; ///< of the domain, that the sender hears; told with whole words
    in_flight_counts inFlight; ///< of all VMs together, the receiver's own among them

    friend bool operator==(const relay_update &, const relay_update &) = default;
};

/// A relay word with what one member has to leave out of it.
struct member_update
{
    relay_update message;
    in_flight_counts receiverInFlight; ///< the receiver's own flights that the word counts; of all targets

    friend bool operator==(const member_update &, const member_update &) = default;
};

using peer_datagram = std::variant<peer_digest, delta_message, member_update>;

std::string encodeDigest(const peer_digest &digest);
std::string encodeDelta(const delta_message &delta);
/// The part of a member_update that is the same for all members.
std::string encodeRelayUpdate(const relay_update &message);
/// \p encodedUpdate: made by encodeRelayUpdate().
std::string encodeMemberUpdate(const std::string &encodedUpdate, const in_flight_counts &receiverInFlight);

/// \return nothing for bytes that are no datagram of a known kind.
std::optional<peer_datagram> decodeDatagram(std::string_view bytes);

} // namespace fuchsialoom
