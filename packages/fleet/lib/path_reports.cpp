/// \file
/// Implements the keys of VMs.
#include "fuchsialoom/fleet/path_reports.h"

#include "fuchsialoom/support/hash.h"

namespace fuchsialoom
{

vm_key::vm_key(const vm_id &id)
    : value(static_cast<std::uint32_t>(hashOf(id.text()).value()))
{
}

} // namespace fuchsialoom
