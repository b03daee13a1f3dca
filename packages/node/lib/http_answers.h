/// \file
/// Answers over HTTP that callers and operators share: typed errors and recorded outcomes.
#pragma once

#include "fuchsialoom/core/records.h"
#include "fuchsialoom/support/errors.h"

#include <httplib.h>

namespace fuchsialoom
{

/// {"error": {"type", "message", "outcome", "request_id", "retry_after_ms"?}}.
std::string errorBody(const failure &what, const request_id &id);

/// Sets status, body, and Retry-After in whole seconds, rounded up.
void answerFailure(httplib::Response &to, const failure &what, const request_id &id);

/// Replays the answer of an earlier run.
void answerRecorded(httplib::Response &to, const key_outcome &recorded);

} // namespace fuchsialoom
