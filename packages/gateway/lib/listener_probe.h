/// \file
/// Asks a host whether a process listens at an address, by opening a connection.
#pragma once

#include "fuchsialoom/support/time.h"

#include <asio.hpp>

#include <functional>

namespace fuchsialoom
{

enum class probe_result {
    Listening,
    Refused, ///< the host answered that no process listens
    NoAnswer, ///< the host may be out of reach
};

/// Calls \p done once, on the event loop's thread.
void probeListener(asio::io_context &loop,
                   const asio::ip::tcp::endpoint &address,
                   milliseconds timeout,
                   std::function<void(probe_result)> done);

} // namespace fuchsialoom
