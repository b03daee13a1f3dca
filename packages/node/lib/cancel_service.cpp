/// \file
/// The duty that cancels streams at targets.
#include "fuchsialoom/node/cancel_service.h"

#include "fuchsialoom/wire/engine_client.h"

namespace fuchsialoom
{

static constexpr std::size_t ringCapacity = 1024;
/// A cancellation saves work; it isn't worth more of the duty's time.
static constexpr milliseconds cancelTimeout{500};

cancel_service::cancel_service(metrics_registry &metrics)
    : m_metrics(metrics)
    , m_ring(ringCapacity)
{
}

void cancel_service::start()
{
    m_thread = std::jthread([this] {
        run();
    });
}

void cancel_service::stop()
{
    m_ring.close();
    m_thread.join();
}

void cancel_service::cancel(const cancel_attempt &what)
{
    if (!m_ring.tryPush(what)) {
        m_metrics.add(metric::CancelsDropped);
    }
}

void cancel_service::run()
{
    while (std::optional<cancel_attempt> next = m_ring.pop()) {
        if (!m_ring.closed()) {
            engine_client(next->address).cancel(next->request, std::chrono::steady_clock::now() + cancelTimeout);
        }
    }
}

} // namespace fuchsialoom
