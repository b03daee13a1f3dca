/// \file
/// What VMs tell each other in datagrams. Datagrams may be lost, come twice or late; a later one replaces an earlier
/// one of the same process.
///
/// A VM that relays speaks for itself and its members: to other relays with digests and notes, to its members with
/// relay words. A member sends its own digests and notes to its relay alone.
#pragma once

#include "fuchsialoom/core/targets.h"
#include "fuchsialoom/fleet/flights.h"
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
struct adapter_want
{
    service_id service;
    model_id model;
    adapter_id adapter;

    friend auto operator<=>(const adapter_want &, const adapter_want &) = default;
};

/// What a target holds changed, by word of the VM that ordered it; or its host refused a VM's connection, so that no
/// process is there.
struct residency_news
{
    target_id target;
    model_id model; ///< empty: the target itself
    adapter_id adapter; ///< empty: the model itself
    bool present = true;

    friend auto operator<=>(const residency_news &, const residency_news &) = default;
};

/// A holder's word that it orders no more under a fence.
struct renounced_fence
{
    std::uint64_t fence = 0;
    milliseconds sinceLastOrder{0}; ///< at least so long ago it ordered last

    friend bool operator==(const renounced_fence &, const renounced_fence &) = default;
};

/// Some VM holds the duty of ordering what targets hold.
struct holder_word
{
    std::uint64_t fence = 0;
    milliseconds wait{0}; ///< it orders only after this

    friend bool operator==(const holder_word &, const holder_word &) = default;
};

/// Who sends a datagram, and where it stands among the sender's others.
struct word_origin
{
    vm_id vm;
    std::uint64_t incarnation = 0; ///< of the sending process; grows with its restarts
    std::uint64_t sequence = 0; ///< grows with every datagram of a process

    friend bool operator==(const word_origin &, const word_origin &) = default;
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
    word_origin origin;
    relay_request request = relay_request::None;
    std::uint32_t vms = 1; ///< that the word speaks for
    milliseconds due{0}; ///< the sender's next digest comes within this
    std::uint64_t configVersion = 0; ///< in force at the sender; 0: none
    bool leaving = false; ///< the sender stops
    std::optional<holder_word> holder; ///< the sender, or a VM that it speaks for
    std::optional<renounced_fence> renounced; ///< set by a VM whose term as holder ended
    flight_counts flights;
    std::vector<demand_entry> demand;
    std::vector<adapter_want> wants;
    std::vector<residency_news> news;
    std::vector<endpoint> relays; ///< other relays that the sender hears, so that all of them know each other

    friend bool operator==(const peer_digest &, const peer_digest &) = default;
};

/// What changed since a sender's last word, for choices that are made within milliseconds.
struct flight_note
{
    word_origin origin;
    flight_counts changed; ///< zeros among them
    std::vector<adapter_want> wants;
    std::vector<residency_news> news;

    friend bool operator==(const flight_note &, const flight_note &) = default;
};

/// What a relay tells all its members alike.
struct relay_word
{
    word_origin origin;
    bool isWhole = false; ///< `flights` tells of all targets, else of those that changed
    bool leaving = false; ///< the relay stops
    milliseconds due{0}; ///< the next whole one comes within this
    std::uint32_t liveVms = 1; ///< of the whole fleet, as far as the relay knows
    std::uint64_t configVersion = 0;
    std::optional<holder_word> holder;
    std::vector<residency_news> news;
    std::vector<vm_id> relays; ///< of the domain, that the sender hears; told with whole words
    flight_counts flights; ///< of all VMs together, the receiver's own among them

    friend bool operator==(const relay_word &, const relay_word &) = default;
};

/// A relay word with what one member has to leave out of it.
struct member_word
{
    relay_word word;
    flight_counts yours; ///< the receiver's own flights that the word counts; of all targets

    friend bool operator==(const member_word &, const member_word &) = default;
};

using peer_datagram = std::variant<peer_digest, flight_note, member_word>;

std::string encodeDigest(const peer_digest &digest);
std::string encodeNote(const flight_note &note);
/// The part of a member_word that is the same for all members.
std::string encodeRelayWord(const relay_word &word);
/// \p encodedWord: made by encodeRelayWord().
std::string encodeMemberWord(const std::string &encodedWord, const flight_counts &yours);

/// \return nothing for bytes that are no datagram of a known kind.
std::optional<peer_datagram> decodeDatagram(std::string_view bytes);

} // namespace fuchsialoom
