/// \file
/// What a VM knows of the leadership of its domain and of the domain's targets.
#pragma once

#include "fuchsialoom/core/leadership.h"
#include "fuchsialoom/core/residency_goal.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace fuchsialoom
{

/// One target as the ledger sees it.
struct target_status
{
    target_id target;
    std::uint64_t capacityBytes = 0;
    std::uint64_t residentBytes = 0;
    std::uint64_t openBytes = 0; ///< of loads that may yet land
    std::size_t openOrders = 0;
    fencing_number fencedWith;
    bool reachable = false;
    bool lost = false; ///< hasn't answered for so long that its models belong elsewhere
    target_placement resident;
    target_placement openLoads; ///< loads with an unknown outcome
};

struct leader_status
{
    std::optional<leader_term> term;
    bool leading = false; ///< this VM holds the lease
    bool decides = false; ///< it holds the lease, or acts in an outage of the log
    bool frozen = false; ///< the log is out, so targets that don't check fencing get no orders
    bool homesKnown = false; ///< this VM can tell which domains are home to a model
    log_offset applied;
    std::vector<target_status> targets;
};

} // namespace fuchsialoom
