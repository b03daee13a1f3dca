/// \file
/// One VM's process: its services, put together and run until a signal ends it.
#pragma once

#include "fuchsialoom/node/process_options.h"

namespace fuchsialoom
{

/// Runs until SIGTERM or SIGINT: then refuses new requests, lets running ones end, and returns.
/// \throws error(InvalidOption) where an address can't be bound.
void runNode(const process_options &options);

} // namespace fuchsialoom
