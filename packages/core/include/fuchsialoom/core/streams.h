/// \file
/// Names of the streams that the system keeps in the platform's log.
#pragma once

#include "fuchsialoom/support/ids.h"

#include <cstdint>

namespace fuchsialoom
{

/// Changes and snapshots of settings; read by every VM.
stream_name settingsStream();

/// Capacity, loans of weight-store rate and quarantine; read by every VM.
stream_name fleetStream();

/// Leadership and orders of one domain; read by that domain's VMs. Intents and claims share a stream,
/// so that "its author led at that offset" is decided by one order.
stream_name domainStream(const domain_id &domain);

/// Claims and outcomes of the keys of one partition; read by the partition's owner.
stream_name claimStream(std::uint32_t partition);

/// The claim partition of \p key.
std::uint32_t claimPartitionOf(const idempotency_key &key, std::uint32_t partitions);

} // namespace fuchsialoom
