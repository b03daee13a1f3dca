/// \file
/// What one VM tells the others, several times a second, in a datagram: what it has in flight, what is
/// asked of it, and, from the VM that orders what targets hold, what they hold now. Digests may be lost,
/// come twice or late; a later one replaces an earlier one.
#pragma once

#include "fuchsialoom/gateway/duty_lease.h"
#include "fuchsialoom/gateway/target_pool.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace fuchsialoom
{

/// What a VM was asked for of one model or adapter, since its start and right now.
struct demand_entry
{
    model_id model;
    adapter_id adapter; ///< empty: all requests of the model
    std::uint64_t arrivals = 0;
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

struct peer_digest
{
    vm_id vm;
    std::uint64_t incarnation = 0; ///< of the sending process; grows with its restarts
    std::uint64_t sequence = 0; ///< grows with every digest of a process
    std::uint64_t configVersion = 0; ///< in force at the sender; 0: none
    bool leaving = false; ///< the sender drains
    std::optional<std::uint64_t> dutyFence; ///< set by the holder of the duty
    milliseconds dutyWait{0}; ///< the holder orders only after this
    std::optional<renounced_fence> renounced; ///< set by a VM whose term as holder ended
    flight_counts flights;
    std::vector<demand_entry> demand;
    std::vector<adapter_want> wants;
    std::vector<residency_news> news;
    std::vector<endpoint> peers; ///< that the sender knows; now and then

    friend bool operator==(const peer_digest &, const peer_digest &) = default;
};

/// What changed of a VM's flights since its last word, for choices that peers make within milliseconds. Small,
/// so that it can go out with every request that is sent.
struct flight_note
{
    vm_id vm;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0; ///< counts on with the digests'
    flight_counts changed; ///< zeros among them

    friend bool operator==(const flight_note &, const flight_note &) = default;
};

using peer_datagram = std::variant<peer_digest, flight_note>;

std::string encodeDigest(const peer_digest &digest);
std::string encodeNote(const flight_note &note);

/// \return nothing for bytes that are no datagram of a known kind.
std::optional<peer_datagram> decodeDatagram(std::string_view bytes);

} // namespace fuchsialoom
