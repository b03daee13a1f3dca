/// \file
/// Implements the view of demand over all VMs.
#include "fuchsialoom/gateway/demand_view.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace fuchsialoom
{

/// The demand of a VM silent for this long is dropped.
static constexpr milliseconds vmSilenceTimeout{2000};
/// Time constant of the smoothed value, which makes about two thirds of a step in this time. A request lasts about 1.5 s,
/// and a shift of demand to another model takes 4 s or more.
static constexpr double smoothingSeconds = 0.6;
/// Time constant of the growth rate, long enough that a short burst of arrivals doesn't count as growth.
static constexpr double growthSmoothingSeconds = 1.0;
/// Time constant of the remembered peak, to which the load time is added; the peak falls by about two thirds in this time.
/// Demand that has moved to other models rarely returns, and its replicas occupy the memory that those models need.
static constexpr double minMemorySeconds = 1.5;

demand_view::demand_view()
    : m_memorySeconds(minMemorySeconds)
{
}

void demand_view::setMemory(double loadSeconds)
{
    m_memorySeconds = minMemorySeconds + loadSeconds;
}

void demand_view::setDemand(instant now, const vm_id &vm, const std::vector<demand_entry> &demand)
{
    vm_demand &report = m_vmDemands[vm];
    report.heardAt = now;
    report.demand.clear();
    for (const demand_entry &entry : demand) {
        if (entry.adapter.empty()) {
            report.demand[entry.model] = entry;
        }
    }
}

void demand_view::advance(instant now)
{
    std::erase_if(m_vmDemands, [now](const auto &entry) {
        return now - entry.second.heardAt > vmSilenceTimeout;
    });
    std::map<model_id, std::uint32_t> busy;
    for (auto &[model, streams] : m_models) {
        streams.waiting = 0;
        busy[model] = 0;
    }
    for (const auto &[vm, report] : m_vmDemands) {
        for (const auto &[model, entry] : report.demand) {
            busy[model] += entry.running + entry.waiting;
            m_models[model].waiting += entry.waiting;
        }
    }
    const double passed = m_advancedAt == instant{} ? 0 : std::chrono::duration<double>(now - m_advancedAt).count();
    m_advancedAt = now;
    const double step = 1 - std::exp(-passed / smoothingSeconds);
    const double fade = std::exp(-passed / m_memorySeconds);
    for (const auto &[model, count] : busy) {
        model_streams &streams = m_models[model];
        const double before = streams.now;
        streams.now += (count - streams.now) * step;
        if (passed > 0) {
            const double slope = (streams.now - before) / passed;
            streams.growthRate =
                std::max(0.0, streams.growthRate + (slope - streams.growthRate) * (1 - std::exp(-passed / growthSmoothingSeconds)));
        }
        streams.remembered = std::max(streams.now, streams.remembered * fade);
    }
}

} // namespace fuchsialoom
