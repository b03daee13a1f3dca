/// \file
/// Demand over all VMs.
#include "fuchsialoom/gateway/demand_view.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace fuchsialoom
{

/// A VM that is silent for so long asks for nothing any more.
static constexpr milliseconds tellerSilence{2000};
/// Time in which the smoothed value makes two thirds of a step: a request lasts about 1.5 s, and a shift
/// of demand to another model takes 4 s or more.
static constexpr double smoothingSeconds = 0.6;
/// The same for the rise: long enough that clumps of arrivals are no rise.
static constexpr double slopeSeconds = 1.0;
/// Time in which the remembered value falls by two thirds, beside the time of a load. Demand that moves on
/// comes back seldom, and its copies hold the places that the next models need.
static constexpr double leastMemorySeconds = 1.5;

demand_view::demand_view()
    : m_memorySeconds(leastMemorySeconds)
{
}

void demand_view::setMemory(double loadSeconds)
{
    m_memorySeconds = leastMemorySeconds + loadSeconds;
}

void demand_view::tell(instant now, const vm_id &vm, const std::vector<demand_entry> &demand)
{
    teller &told = m_tellers[vm];
    told.heardAt = now;
    told.demand.clear();
    for (const demand_entry &entry : demand) {
        if (entry.adapter.empty()) {
            told.demand[entry.model] = entry;
        }
    }
}

void demand_view::advance(instant now)
{
    std::erase_if(m_tellers, [now](const auto &entry) {
        return now - entry.second.heardAt > tellerSilence;
    });
    std::map<model_id, std::uint32_t> busy;
    for (auto &[model, streams] : m_models) {
        streams.waiting = 0;
        busy[model] = 0;
    }
    for (const auto &[vm, told] : m_tellers) {
        for (const auto &[model, entry] : told.demand) {
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
            streams.rising = std::max(0.0, streams.rising + (slope - streams.rising) * (1 - std::exp(-passed / slopeSeconds)));
        }
        streams.remembered = std::max(streams.now, streams.remembered * fade);
    }
}

} // namespace fuchsialoom
