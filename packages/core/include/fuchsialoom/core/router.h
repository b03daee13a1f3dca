/// \file
/// Chooses the target of a request: model residency and room first, then own domain, then the best
/// score of corrected load, prefix-cache match and adapter residency.
#pragma once

#include "fuchsialoom/core/cache_index.h"
#include "fuchsialoom/core/requests.h"
#include "fuchsialoom/core/target_table.h"

#include <span>

namespace fuchsialoom
{

/// A target process that an earlier attempt of the request was at.
struct tried_target
{
    target_id target;
    incarnation_number incarnation;
};

struct route_query
{
    const incoming_request &request;
    /// Not there again: an attempt may still run there under the same stream id.
    std::span<const tried_target> tried;
    /// The request is accused: only to a target without another accused request.
    bool apart = false;
    /// The request holds the lease of this target: only there.
    const target_id *leased = nullptr;
};

struct route
{
    const target_entry *target = nullptr; ///< none: no target has room now
    bool anyServes = false; ///< whether some target could serve the request once it has room
    int score = 0; ///< of `target`; lower is better
};

/// Whether some target could serve the request once it has room. Cheaper than a route.
bool isServed(const target_table &targets, const incoming_request &request);

/// Equal inputs give equal answers on every VM, but for \c inOwnDomain.
route findRoute(const target_table &targets, const cache_index &cache, const route_query &query);

} // namespace fuchsialoom
