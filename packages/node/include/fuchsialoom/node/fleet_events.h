/// \file
/// The events of all VMs that this one can reach, as one time line.
#pragma once

#include "fuchsialoom/node/event_service.h"
#include "fuchsialoom/node/peer_service.h"

#include <string>
#include <vector>

namespace fuchsialoom
{

/// Answers the peers' questions for events. Call before the peer service starts.
void serveEvents(peer_service &peers, const event_service &events);

/// The events kept here and at every reachable peer, later than \p after and about \p subject unless it
/// is empty, in order. Peers that don't answer by \p deadline are left out.
std::vector<timeline_event>
fleetEvents(peer_service &peers, const event_service &events, hlc_stamp after, const std::string &subject, real_deadline deadline);

} // namespace fuchsialoom
