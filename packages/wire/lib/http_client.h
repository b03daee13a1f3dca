/// \file
/// Connections of httplib with a deadline.
#pragma once

#include "fuchsialoom/core/targets.h"
#include "fuchsialoom/wire/log_client.h"

#include <httplib.h>

namespace fuchsialoom
{

/// A client for one call that answers, or fails, by about \p deadline.
httplib::Client connectTo(const endpoint &address, real_deadline deadline);

} // namespace fuchsialoom
