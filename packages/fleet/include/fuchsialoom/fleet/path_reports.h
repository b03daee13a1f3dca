/// \file
/// Which VMs of the fleet say that they reach no target. Sans-I/O.
#pragma once

#include "fuchsialoom/fleet/source_reports.h"
#include "fuchsialoom/support/ids.h"

#include <cstdint>

namespace fuchsialoom
{

/// The hash of a VM's id, which takes less room in messages. Where two VMs share one, neither gets requests of others while one of them
/// reaches no target.
struct vm_key
{
    vm_key() = default;
    vm_key(const vm_id &id);
    explicit vm_key(std::uint32_t hash)
        : value(hash)
    {
    }

    friend auto operator<=>(const vm_key &, const vm_key &) = default;

    std::uint32_t value = 0;
};

using path_reports = source_reports<vm_key>;

} // namespace fuchsialoom
