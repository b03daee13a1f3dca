/// \file
/// Peers that relay the tail of a stream to a VM that can't reach the log.
#pragma once

#include "fuchsialoom/core/tail_plan.h"
#include "fuchsialoom/support/ids.h"
#include "fuchsialoom/wire/log_client.h"

#include <vector>

namespace fuchsialoom
{

/// Thread-safe.
class tail_source
{
public:
    virtual ~tail_source() = default;

    /// The VMs of the own domain that may be chosen to read a stream for the others.
    virtual tail_readers_known readers() const = 0;

    /// The VMs that can be asked now, ordered by name; without this one.
    virtual std::vector<vm_id> peers() const = 0;

    /// What \p peer has of \p stream from \p from on; `next` follows the last record that it has
    /// applied. Unavailable where it doesn't answer by \p deadline.
    virtual read_result read(const vm_id &peer, const stream_name &stream, log_offset from, real_deadline deadline) = 0;
};

} // namespace fuchsialoom
