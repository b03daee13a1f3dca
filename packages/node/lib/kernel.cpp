/// \file
/// The micro-kernel.
#include "fuchsialoom/node/kernel.h"

namespace fuchsialoom
{

void kernel::startAll()
{
    for (const named_service &entry : m_services) {
        entry.instance->start();
        ++m_started;
    }
}

void kernel::stopAll()
{
    while (m_started > 0) {
        --m_started;
        m_services[m_started].instance->stop();
    }
}

} // namespace fuchsialoom
