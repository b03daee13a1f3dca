/// \file
/// What all VMs are asked for, by model, from their digests; smoothed, so that a plan follows a shift of
/// demand within a second or two and not every request. Sans-I/O.
#pragma once

#include "fuchsialoom/fleet/messages.h"

#include <map>
#include <vector>

namespace fuchsialoom
{

struct model_streams
{
    double now = 0; ///< requests that run or wait, smoothed over about a second
    double remembered = 0; ///< the most of late, fading: guards copies after a burst
    std::uint32_t waiting = 0; ///< at all VMs, as last told
    double growthRate = 0; ///< streams more each second, smoothed; never below 0
};

class demand_view
{
public:
    demand_view();

    /// A model's streams in a moment, at the rate at which they rise now.
    static double projected(const model_streams &streams, double ahead)
    {
        return streams.now + ahead * streams.growthRate;
    }

    /// \p vm's word, in place of its earlier one.
    void setDemand(instant now, const vm_id &vm, const std::vector<demand_entry> &demand);

    /// How long a model's demand is remembered: about what it takes to load it again, and a little more.
    void setMemory(double loadSeconds);

    /// To be called a few times a second.
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
