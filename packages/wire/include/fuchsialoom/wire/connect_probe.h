/// \file
/// Whether a process listens at an address. A refused connection proves that none does; anything else
/// that goes wrong proves nothing, since the way there may be cut.
#pragma once

#include "fuchsialoom/core/targets.h"
#include "fuchsialoom/wire/log_client.h"

namespace fuchsialoom
{

enum class probe_result {
    Accepted,
    Refused, ///< by the target's own host: nothing listens
    Unclear,
};

/// Opens a connection and closes it; answers by about \p deadline.
probe_result probeConnection(const endpoint &address, real_deadline deadline);

} // namespace fuchsialoom
