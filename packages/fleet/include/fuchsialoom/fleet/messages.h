/// \file
/// The messages that VMs exchange in datagrams. Datagrams may be lost, duplicated, delayed or reordered; a newer one
/// supersedes the older ones of the same process.
///
/// A relay sends for itself and its members: digests and deltas to other relays, relay updates to its members. A member sends
/// its own digests and deltas to its relay only.
#pragma once

#include "fuchsialoom/core/targets.h"
#include "fuchsialoom/fleet/crash_news.h"
#include "fuchsialoom/fleet/in_flight.h"
#include "fuchsialoom/fleet/path_reports.h"
#include "fuchsialoom/fleet/team_quotas.h"
#include "fuchsialoom/support/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace fuchsialoom
{

/// The demand for one model or adapter, counted over one or more VMs.
struct demand_entry
{
    model_id model;
    adapter_id adapter; ///< empty: all requests of the model
    std::uint64_t arrivals = 0; ///< since the start of the VM
    std::uint32_t waiting = 0;
    std::uint32_t running = 0;

    friend bool operator==(const demand_entry &, const demand_entry &) = default;
};

/// Requests are waiting for an adapter that isn't resident at any target with free capacity.
struct adapter_request
{
    service_id service;
    model_id model;
    adapter_id adapter;

    friend auto operator<=>(const adapter_request &, const adapter_request &) = default;
};

/// A change of what is resident at a target, reported by the VM that ordered it; or the target is gone, because its host
/// refused a VM's connection; or it isn't gone, because another VM reached it after that.
struct residency_change
{
    target_id target;
    model_id model; ///< empty: the change is about the target itself
    adapter_id adapter; ///< empty: the change is about the model itself
    bool present = true;

    friend auto operator<=>(const residency_change &, const residency_change &) = default;
};

/// Announces that the holder of a fence sends no more orders under it.
struct renounced_fence
{
    std::uint64_t fence = 0;
    milliseconds sinceLastOrder{0}; ///< lower bound of the time since its last order

    friend bool operator==(const renounced_fence &, const renounced_fence &) = default;
};

/// Announces that some VM holds the duty, the exclusive lease to order which models and adapters targets load.
struct holder_announcement
{
    std::uint64_t fence = 0;
    milliseconds wait{0}; ///< it sends orders only after this

    friend bool operator==(const holder_announcement &, const holder_announcement &) = default;
};

/// The sender of a datagram and the datagram's position among all those of the sender.
struct message_origin
{
    vm_id vm;
    std::uint64_t incarnation = 0; ///< of the sending process; increases with each restart
    std::uint64_t sequence = 0; ///< increases with each datagram of a process

    friend bool operator==(const message_origin &, const message_origin &) = default;
};

/// What the sender of a digest requests of its receiver.
enum class relay_request {
    None, ///< both are relays
    Relay, ///< relay for the sender
    Leave, ///< stop relaying for the sender, which uses another relay
    NotRelay, ///< the sender is not a relay
};

/// The full state of a VM, or of a relay and its members.
struct peer_digest
{
    message_origin origin;
    relay_request request = relay_request::None;
    std::uint32_t vms = 1; ///< covered by this digest
    milliseconds nextWithin{0}; ///< the sender's next digest is due within this time
    std::uint64_t configVersion = 0; ///< applied by the sender; 0: none
    bool leaving = false; ///< the sender is stopping
    std::optional<holder_announcement> holder; ///< the sender, or one of its members
    std::optional<renounced_fence> renounced; ///< set by a VM that gave up the duty
    in_flight_counts inFlight;
    std::vector<demand_entry> demand;
    std::vector<adapter_request> adapterRequests;
    std::vector<residency_change> residencyChanges;
    std::vector<endpoint> relays; ///< other live relays known to the sender, for discovery
    std::vector<team_spending> spending; ///< by the VMs that this digest covers
    crash_news crashes;
    std::vector<vm_key> withoutPath; ///< of the VMs that this digest covers, those that reach no target
    std::vector<service_id> brittle; ///< services whose targets have told one of these VMs that they are brittle

    friend bool operator==(const peer_digest &, const peer_digest &) = default;
};

/// Changes since the sender's last message, sent promptly because targets are selected within milliseconds.
struct delta_message
{
    message_origin origin;
    in_flight_counts changed; ///< including zeros
    std::vector<adapter_request> adapterRequests;
    std::vector<residency_change> residencyChanges;
    std::vector<team_spending> spending; ///< that can't wait for the next digest
    crash_news crashes;

    friend bool operator==(const delta_message &, const delta_message &) = default;
};

/// The part of an update that is the same for all members of a relay.
struct relay_update
{
    message_origin origin;
    bool isFull = false; ///< `inFlight` covers all targets, else only those that changed
    bool leaving = false; ///< the relay is stopping
    milliseconds nextWithin{0}; ///< the next full update is due within this time
    std::uint32_t liveVms = 1; ///< in the whole fleet, as far as the relay knows
    std::uint64_t configVersion = 0;
    std::optional<holder_announcement> holder;
    std::vector<residency_change> residencyChanges;
    std::vector<vm_id> relays; ///< live relays of the domain; only in full updates
    in_flight_counts inFlight; ///< totals of all VMs, including the receiver
    std::vector<team_balance> balances; ///< of all teams in full updates, else of those with little credit left
    double reach = 1; ///< fraction of the fleet that the relay can reach
    crash_news crashes;
    std::vector<vm_key> withoutPath; ///< VMs of the whole fleet that reach no target; only in full updates
    std::vector<service_id> brittle; ///< services whose targets are brittle; only in full updates

    friend bool operator==(const relay_update &, const relay_update &) = default;
};

/// What of a relay update came from its receiver.
struct receiver_part
{
    in_flight_counts inFlight; ///< the receiver's own counts that the update's totals include; of all targets
    std::vector<team_spending> spending; ///< the receiver's own spending that the update's balances include

    friend bool operator==(const receiver_part &, const receiver_part &) = default;
};

/// A relay update together with the receiver's own part of it.
struct member_update
{
    relay_update message;
    receiver_part receiver;

    friend bool operator==(const member_update &, const member_update &) = default;
};

using peer_datagram = std::variant<peer_digest, delta_message, member_update>;

std::string encodeDigest(const peer_digest &digest);
std::string encodeDelta(const delta_message &delta);
/// Encodes the part of a member_update that is the same for all members.
std::string encodeRelayUpdate(const relay_update &message);
/// \p encodedUpdate: the result of encodeRelayUpdate().
std::string encodeMemberUpdate(const std::string &encodedUpdate, const receiver_part &receiver);

/// \return nothing for bytes that aren't a valid datagram of a known type.
std::optional<peer_datagram> decodeDatagram(std::string_view bytes);

} // namespace fuchsialoom
