/// \file
/// The duty that cancels streams at targets, so that a slow target holds up no decision.
#pragma once

#include "fuchsialoom/core/requests.h"
#include "fuchsialoom/node/kernel.h"
#include "fuchsialoom/support/bounded_ring.h"
#include "fuchsialoom/support/metrics.h"

#include <thread>

namespace fuchsialoom
{

/// Thread-safe.
class cancel_service : public service
{
public:
    explicit cancel_service(metrics_registry &metrics);

    void start() override;
    /// Drops the cancellations that still wait: the streams end by themselves.
    void stop() override;

    /// Never waits. Where too many wait already, the cancellation is dropped and counted; its stream
    /// then runs to its end unseen.
    void cancel(const cancel_attempt &what);

private:
    void run();

    metrics_registry &m_metrics;
    bounded_ring<cancel_attempt> m_ring;
    std::jthread m_thread;
};

} // namespace fuchsialoom
