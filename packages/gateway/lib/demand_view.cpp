/// \file
/// Demand over all VMs.
#include "fuchsialoom/gateway/demand_view.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace fuchsialoom
{

/// A VM that is silent for so long asks for nothing any more.
static constexpr milliseconds vmSilenceTimeout{2000};
/// Time in which the smoothed value makes two thirds of a step: a request lasts about 1.5 s, and a shift
/// of demand to another model takes 4 s or more.
static constexpr double smoothingSeconds = 0.6;
/// The same for the rise: long enough that clumps of arrivals are no rise.
static constexpr double growthSmoothingSeconds = 1.0;
/// Time in which the remembered value falls by two thirds, beside the time of a load. Demand that moves on
/// comes back seldom, and its copies hold the places that the next models need.
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
            streams.growthRate = std::max(0.0, streams.growthRate + (slope - streams.growthRate) * (1 - std::exp(-passed / growthSmoothingSeconds)));
        }
        streams.remembered = std::max(streams.now, streams.remembered * fade);
    }
}

} // namespace fuchsialoom
