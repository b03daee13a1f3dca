/// \file
/// What VMs tell each other, to and from protocol messages. Nothing that arrives is trusted: whatever
/// can't be a value of ours is refused or bounded.
#pragma once

#include "fuchsialoom/core/membership.h"
#include "fuchsialoom/core/requests.h"
#include "fuchsialoom/core/target_leases.h"
#include "fuchsialoom/support/hlc.h"

#include "peer.pb.h"

#include <optional>
#include <vector>

namespace fuchsialoom
{

/// Ages and remaining times beyond this are bounded to it.
inline constexpr microseconds longestSpan = std::chrono::hours(24);

void encodeContact(const vm_contact &contact, proto::peer_digest &to);
/// Says only who sends, to a receiver that knows the rest; decodeContact() then returns nothing.
void encodeIdentity(const vm_contact &contact, proto::peer_digest &to);
/// \return nothing where the sender doesn't say who and where it is.
std::optional<vm_contact> decodeContact(const proto::peer_digest &from);

/// Tells \p to of another VM.
void encodeMention(const vm_contact &contact, proto::peer_digest &to);
std::vector<vm_contact> decodeMentions(const proto::peer_digest &from);

void encodeStamp(hlc_stamp stamp, proto::hlc_stamp &to);
/// \return nothing where the stamp is further ahead of \p now than clocks can differ.
std::optional<hlc_stamp> decodeStamp(const proto::hlc_stamp &from, wall_instant now);

/// The fingerprint and until when it is refused, on this VM's clock.
void encodeQuarantine(const quarantine_learned &entry, instant now, proto::peer_digest &to);
std::vector<quarantine_learned> decodeQuarantine(const proto::peer_digest &from, instant now);

proto::accusation_notice encodeAccusation(const accusation &what, const vm_id &accuser);
std::optional<accusation> decodeAccusation(const proto::accusation_notice &from);

proto::target_lease encodeLease(const target_lease &lease, instant now);
/// \return nothing where the target, the holder or the request is not named.
std::optional<target_lease> decodeLease(const proto::target_lease &from, instant now);

/// Equal for equal models and adapters.
std::uint64_t residencyOf(const load_report &report);

/// A target's load as a peer knows it; `report` lacks models and adapters unless `hasResidency`.
struct received_load
{
    load_report report;
    instant answeredAt;
    std::uint64_t residency = 0;
    bool hasResidency = false;
};

proto::load_digest encodeLoad(const load_report &report, instant answeredAt, instant now, bool withResidency);
/// The part of a report that changes always; \p number stands for the rest.
proto::load_digest encodeNumberedLoad(const load_report &report, std::uint32_t number, instant answeredAt, instant now);
std::optional<received_load> decodeLoad(const proto::load_digest &from, instant now);

void encodeEvent(const timeline_event &event, proto::event_entry &to);
/// \return nothing for a kind of event that this version doesn't know; unknown fields are left out.
std::optional<timeline_event> decodeEvent(const proto::event_entry &from);

} // namespace fuchsialoom
