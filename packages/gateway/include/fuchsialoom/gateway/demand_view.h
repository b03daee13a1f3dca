/// \file
/// Demand over all VMs by model, from their digests. Smoothed, so that a plan follows a shift of demand within a second or
/// two, but not every single request. Sans-I/O.
#pragma once

#include "fuchsialoom/fleet/messages.h"

#include <map>
#include <vector>

namespace fuchsialoom
{

struct model_streams
{
    double now = 0; ///< running and waiting requests, smoothed over about a second
    double remembered = 0; ///< decaying peak of `now`; keeps replicas for a while after a burst
    std::uint32_t waiting = 0; ///< waiting requests at all VMs, as last reported
    double growthRate = 0; ///< growth in streams per second, smoothed; never negative
};

class demand_view
{
public:
    demand_view();

    /// A model's streams \p ahead seconds from now, at the current growth rate.
    static double projected(const model_streams &streams, double ahead)
    {
        return streams.now + ahead * streams.growthRate;
    }

    /// Replaces the demand reported by \p vm.
    void setDemand(instant now, const vm_id &vm, const std::vector<demand_entry> &demand);

    /// Sets how long a model's peak demand is remembered: a little longer than \p loadSeconds, the time to load it again.
    void setMemory(double loadSeconds);

    /// Updates the smoothed values. Must be called a few times per second.
    void advance(instant now);

    const std::map<model_id, model_streams> &models() const
    {
        return m_models;
    }

private:
    struct vm_demand
    {
        std::map<model_id, demand_entry> demand;
        instant heardAt{};
    };

    std::map<vm_id, vm_demand> m_vmDemands;
    std::map<model_id, model_streams> m_models;
    instant m_advancedAt{};
    double m_memorySeconds;
};

} // namespace fuchsialoom
