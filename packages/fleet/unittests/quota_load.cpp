/// \file
/// Requests of one team.
#include "quota_load.h"

#include <algorithm>

namespace fuchsialoom
{

quota_load::quota_load(simulated_fleet &fleet, quota_load_options options)
    : m_fleet(fleet)
    , m_options(std::move(options))
    , m_random(m_options.seed)
    , m_boundFrom(fleet.now())
    , m_ideal(fleet.now(), m_options.limits)
{
    m_ideal.fill(fleet.now());
    for (std::size_t caller = 0; caller < m_options.callers; ++caller) {
        m_vmOf.push_back(m_random() % m_fleet.size());
    }
}

void quota_load::run(milliseconds length, double perSecond)
{
    static constexpr double millisecondsPerSecond = 1000;
    std::poisson_distribution<int> arrivals(perSecond / m_options.cost / millisecondsPerSecond);
    const instant until = m_fleet.now() + length;
    while (m_fleet.now() < until) {
        for (int left = arrivals(m_random); left > 0; --left) {
            send(m_random() % m_vmOf.size());
        }
        m_fleet.run(milliseconds(1));
    }
}

void quota_load::send(std::size_t caller)
{
    for (std::size_t tries = 0; !m_fleet.isUp(m_vmOf[caller]) && tries < m_fleet.size(); ++tries) {
        m_vmOf[caller] = (m_vmOf[caller] + 1) % m_fleet.size();
    }
    if (!m_fleet.isUp(m_vmOf[caller])) {
        return;
    }
    simulated_fleet::vm_state &vm = m_fleet.at(m_vmOf[caller]);
    if (vm.frozen) {
        return;
    }
    m_idealAdmitted += m_ideal.take(m_fleet.now(), m_options.cost) ? m_options.cost : 0;
    if (vm.quotas->take(m_fleet.now(), m_options.team, static_cast<std::uint64_t>(m_options.cost))) {
        vm.node->onInFlightChanged(m_fleet.now());
        record(m_options.cost);
        m_admitted += m_options.cost;
    } else {
        m_refused += m_options.cost;
    }
}

void quota_load::record(double cost)
{
    m_window.emplace_back(m_fleet.now(), cost);
    m_windowSum += cost;
    while (m_window.front().first <= m_fleet.now() - m_options.tolerance.window) {
        m_windowSum -= m_window.front().second;
        m_window.pop_front();
    }
    if (m_fleet.now() < m_boundFrom) {
        return;
    }
    const double window = std::chrono::duration<double>(m_options.tolerance.window).count();
    const double allowed =
        (m_options.limits.perSecond * window + m_options.limits.burst) * (1 + m_options.tolerance.excess) + m_options.tolerance.slack;
    m_worstWindow = std::max(m_worstWindow, m_windowSum / allowed);
}

void quota_load::setLimits(quota_limits limits)
{
    m_options.limits = limits;
    m_boundFrom = m_fleet.now() + m_options.tolerance.window;
    m_fleet.setQuotas({{m_options.team, limits}});
}

} // namespace fuchsialoom
