/// \file
/// Which domains are home to a model. A home domain has to keep the model resident; copies beyond
/// that are each domain's own choice. There is no leader above the domains: every VM computes the
/// homes from the same settings and log records, so the function takes nothing that VMs may see
/// differently. Neither earlier homes nor measured demand are among its inputs, because a VM that
/// has just started has none of the former, and no two VMs measure the same of the latter.
#pragma once

#include "fuchsialoom/core/records.h"
#include "fuchsialoom/support/ids.h"
#include "fuchsialoom/support/timeline_event.h"

#include <cstdint>
#include <map>
#include <vector>

namespace fuchsialoom
{

enum class domain_phase {
    Serving,
    Returning, ///< led again after silence, but not yet for long enough to rely on
    Silent,
};

/// A model in service.
struct model_need
{
    model_id model;
    std::uint64_t bytes = 0;
    std::uint32_t replicasMin = 1; ///< copies over all domains

    friend bool operator==(const model_need &, const model_need &) = default;
};

struct homes_input
{
    std::vector<model_need> models; ///< each model once, in any order
    std::vector<domain_capacity> capacities; ///< the last record of each domain, in any order
    std::map<domain_id, domain_phase> phases; ///< a domain that is not named serves

    friend bool operator==(const homes_input &, const homes_input &) = default;
};

struct model_homes
{
    model_id model;
    std::vector<domain_id> domains; ///< sorted

    friend bool operator==(const model_homes &, const model_homes &) = default;
};

struct homes_plan
{
    std::vector<model_homes> homes; ///< sorted by model; every model of the input
    std::vector<model_id> unreachable; ///< sorted; models that no domain has memory for
    std::vector<model_id> singleHomed; ///< sorted; models that memory allows one home only

    /// The homes of \p model, or null where it isn't in service.
    const model_homes *find(const model_id &model) const;

    friend bool operator==(const homes_plan &, const homes_plan &) = default;
};

/// Pure and independent of the order of the input's lists. A domain's memory counts as `targets`
/// equal bins, and a copy has to fit one of them.
homes_plan planHomes(const homes_input &input);

/// Copies that a home domain keeps of a model with \p replicasMin copies over \p homes domains.
std::uint32_t copiesPerHome(std::uint32_t replicasMin, std::size_t homes);

/// One event for each model whose homes changed, and one for each that lost its last.
std::vector<timeline_event> homeEvents(const homes_plan &before, const homes_plan &after);

} // namespace fuchsialoom
