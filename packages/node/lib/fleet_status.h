/// \file
/// What the operators' port says of peers, targets and unknown claims.
#pragma once

#include "fuchsialoom/core/claims.h"
#include "fuchsialoom/node/peer_service.h"
#include "fuchsialoom/node/watcher_service.h"

#include <nlohmann/json.hpp>

namespace fuchsialoom
{

/// Each peer with state, incarnation and how long ago it was heard.
nlohmann::json peersStatus(const peer_service &peers);

/// Each target of the domain with its watchers, load and their ages.
nlohmann::json targetsStatus(const watcher_service &watcher);

/// {"claims": [{"scope", "key", "request_id", "vm", times in Unix milliseconds}], "total"}.
nlohmann::json unknownClaimsStatus(const unknown_claims_listed &listed);

} // namespace fuchsialoom
