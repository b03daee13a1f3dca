/// \file
/// What a request is called at the engines, and the mark under which the watchers tell each other where it
/// runs.
#pragma once

#include "fuchsialoom/core/requests.h"

namespace fuchsialoom
{

/// What \p request is called at an engine. An engine hands out the stream that it has under a name, so the
/// name covers all that makes the answer this request's own: another brand's, service's or body's request of
/// the same id has another stream.
request_id streamIdOf(const incoming_request &request);

/// A short hash of a stream's id. It only says where to ask first: the engine is asked under the whole id,
/// so two streams of one mark cost a less well chosen target and nothing else.
stream_mark markOf(const request_id &stream);

} // namespace fuchsialoom
