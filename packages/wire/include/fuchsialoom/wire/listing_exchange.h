/// \file
/// The list of VMs and targets from peer to peer. It travels as the platform writes it, and only where
/// the asker has another one.
#pragma once

#include "fuchsialoom/core/listing_follower.h"

#include "peer.pb.h"

namespace fuchsialoom
{

/// Equal for equal lists; never 0.
content_hash contentOf(const vm_listing &listing);

proto::listing_request encodeListingRequest(const std::optional<dated_listing> &own);

/// The answer of a VM that goes by \p own. A list too large for one message is not sent.
proto::listing_reply encodeListingReply(const std::optional<dated_listing> &own, const proto::listing_request &request, instant now);

/// What a peer's answer says, on this VM's clock: peer_listed or peer_confirmed. The way there and back and
/// the drift of clocks widen the span in which the list was made. \return nothing where the peer has none,
/// or sends nonsense.
std::optional<listing_event> decodeListingReply(const proto::listing_reply &reply, instant askedAt, instant answeredAt);

} // namespace fuchsialoom
