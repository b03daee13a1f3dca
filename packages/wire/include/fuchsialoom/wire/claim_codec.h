/// \file
/// Claims and what came of them to and from protobuf: in the log's records, and in the calls between VMs.
#pragma once

#include "fuchsialoom/core/claims.h"

#include "peer.pb.h"

#include <optional>

namespace fuchsialoom
{

proto::key_claim toProto(const key_claim &from);
proto::key_outcome toProto(const key_outcome &from);
proto::key_abandon toProto(const key_abandon &from);
proto::claim_reply toProto(const claim_reply &from);
proto::settle_request toProto(const key_outcomes &from);

key_claim fromProto(const proto::key_claim &from);
key_abandon fromProto(const proto::key_abandon &from);
/// \return nothing where \p from holds a value that no writer of this format makes.
std::optional<key_outcome> fromProto(const proto::key_outcome &from);
std::optional<claim_reply> fromProto(const proto::claim_reply &from);
std::optional<key_outcomes> fromProto(const proto::settle_request &from);

} // namespace fuchsialoom
