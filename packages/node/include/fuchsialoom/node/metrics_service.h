/// \file
/// The metrics of this VM, as a service that the others find by name.
#pragma once

#include "fuchsialoom/node/kernel.h"
#include "fuchsialoom/support/metrics.h"

namespace fuchsialoom
{

class metrics_service : public service
{
public:
    void start() override
    {
    }
    void stop() override
    {
    }

    metrics_registry &registry()
    {
        return m_registry;
    }

private:
    metrics_registry m_registry;
};

} // namespace fuchsialoom
