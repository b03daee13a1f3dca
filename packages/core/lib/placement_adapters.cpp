/// \file
/// Adapters beside their models.
#include "placement_adapters.h"

#include <algorithm>
#include <numeric>

namespace fuchsialoom
{

static bool isOn(const placement_target &target, const placement_adapter &wanted)
{
    return std::ranges::any_of(target.adapters, [&wanted](const resident_adapter &resident) {
        return resident.model == wanted.model && resident.adapter == wanted.adapter;
    });
}

adapter_layout::adapter_layout(placement_layout &layout,
                               const std::vector<placement_target> &targets,
                               const std::vector<placement_model> &models,
                               const std::vector<placement_adapter> &adapters,
                               double moveCost)
    : m_layout(layout)
    , m_adapters(adapters)
    , m_moveCost(moveCost)
    , m_byDemand(adapters.size())
    , m_resident(targets.size())
    , m_held(targets.size())
{
    for (const placement_adapter &adapter : adapters) {
        const auto found = std::ranges::lower_bound(models, adapter.model, {}, &placement_model::model);
        const bool inService = found != models.end() && found->model == adapter.model;
        m_model.push_back(inService ? std::optional(static_cast<std::size_t>(found - models.begin())) : std::nullopt);
    }
    for (std::size_t target = 0; target < targets.size(); ++target) {
        for (std::size_t adapter = 0; adapter < adapters.size(); ++adapter) {
            if (isOn(targets[target], adapters[adapter])) {
                m_resident[target].insert(adapter);
            }
        }
    }
    std::iota(m_byDemand.begin(), m_byDemand.end(), std::size_t{0});
    std::ranges::stable_sort(m_byDemand, std::ranges::greater(), [&adapters](std::size_t adapter) {
        return adapters[adapter].requestsPerMinute;
    });
}

bool adapter_layout::isAsked(std::size_t adapter) const
{
    return m_adapters[adapter].requestsPerMinute > 0;
}

std::vector<std::size_t> adapter_layout::hostsOf(std::size_t adapter) const
{
    std::vector<std::size_t> hosts;
    for (std::size_t target = 0; m_model[adapter] && target < m_layout.targetCount(); ++target) {
        if (m_layout.holds(target, *m_model[adapter])) {
            hosts.push_back(target);
        }
    }
    return hosts;
}

std::size_t adapter_layout::copies(std::size_t adapter) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_held, [adapter](const std::set<std::size_t> &held) {
        return held.contains(adapter);
    }));
}

bool adapter_layout::add(std::size_t target, std::size_t adapter)
{
    const auto bytes = static_cast<std::int64_t>(m_adapters[adapter].bytes);
    if (holds(target, adapter) || m_layout.freeBytes(target) < bytes) {
        return false;
    }
    m_held[target].insert(adapter);
    m_layout.useBytes(target, bytes);
    return true;
}

bool adapter_layout::settle()
{
    dropOrphans();
    keepResident(true);
    bool evicted = false;
    for (const std::size_t adapter : m_byDemand) {
        if (isAsked(adapter) && copies(adapter) == 0) {
            evicted = seeToOneCopy(adapter) || evicted;
        }
    }
    for (const std::size_t adapter : m_byDemand) {
        spread(adapter);
    }
    return evicted;
}

void adapter_layout::release()
{
    for (std::size_t target = 0; target < m_held.size(); ++target) {
        for (const std::size_t adapter : m_held[target]) {
            m_layout.useBytes(target, -static_cast<std::int64_t>(m_adapters[adapter].bytes));
        }
    }
    m_resident = std::move(m_held);
    m_held.assign(m_resident.size(), {});
}

void adapter_layout::keepIdle()
{
    keepResident(false);
}

void adapter_layout::dropOrphans()
{
    for (std::size_t target = 0; target < m_held.size(); ++target) {
        std::erase_if(m_held[target], [&](std::size_t adapter) {
            const bool orphan = !m_layout.holds(target, *m_model[adapter]);
            if (orphan) {
                m_layout.useBytes(target, -static_cast<std::int64_t>(m_adapters[adapter].bytes));
            }
            return orphan;
        });
    }
}

void adapter_layout::keepResident(bool asked)
{
    for (const std::size_t adapter : m_byDemand) {
        if (isAsked(adapter) != asked) {
            continue;
        }
        for (const std::size_t host : hostsOf(adapter)) {
            if (m_resident[host].contains(adapter)) {
                add(host, adapter);
            }
        }
    }
}

/// \return whether a copy of a model had to give way.
bool adapter_layout::seeToOneCopy(std::size_t adapter)
{
    std::vector<std::size_t> hosts = hostsOf(adapter);
    std::ranges::stable_sort(hosts, std::ranges::greater(), [this](std::size_t host) {
        return m_layout.freeBytes(host);
    });
    for (const std::size_t host : hosts) {
        if (add(host, adapter)) {
            return false;
        }
    }
    const auto bytes = static_cast<std::int64_t>(m_adapters[adapter].bytes);
    for (const std::size_t host : hosts) {
        const auto evicted = m_layout.evictionsFor(host, bytes, m_model[adapter], eviction_floor::CopiesMin);
        if (!evicted) {
            continue;
        }
        for (const std::size_t model : *evicted) {
            m_layout.remove(host, model);
        }
        dropOrphans();
        add(host, adapter);
        return !evicted->empty();
    }
    return false;
}

void adapter_layout::spread(std::size_t adapter)
{
    const std::vector<std::size_t> hosts = hostsOf(adapter);
    if (hosts.empty()) {
        return;
    }
    const double share = m_adapters[adapter].requestsPerMinute / static_cast<double>(hosts.size());
    if (share <= m_moveCost) {
        return;
    }
    for (const std::size_t host : hosts) {
        add(host, adapter);
    }
}

std::vector<missing_adapter> adapter_layout::missing() const
{
    std::vector<missing_adapter> missing;
    for (std::size_t adapter = 0; adapter < m_adapters.size(); ++adapter) {
        if (isAsked(adapter) && copies(adapter) == 0) {
            missing.push_back(missing_adapter{m_adapters[adapter].model, m_adapters[adapter].adapter});
        }
    }
    return missing;
}

} // namespace fuchsialoom
