/// \file
/// The wait of a duty thread between its rounds.
#pragma once

#include "fuchsialoom/wire/log_client.h"

#include <condition_variable>
#include <mutex>
#include <stop_token>

namespace fuchsialoom
{

/// Waits until \p when, or until \p stop. \return false on stop.
inline bool waitUntil(const std::stop_token &stop, real_deadline when)
{
    std::mutex mutex;
    std::condition_variable_any never;
    std::unique_lock lock(mutex);
    never.wait_until(lock, stop, when, [] {
        return false;
    });
    return !stop.stop_requested();
}

} // namespace fuchsialoom
