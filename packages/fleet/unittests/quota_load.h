/// \file
/// Requests of one team to the VMs of a simulated fleet, and what they were admitted to.
#pragma once

#include "simulated_fleet.h"

#include <deque>
#include <functional>

namespace fuchsialoom
{

/// What the users allow a team beyond its limits, in any window.
struct quota_tolerance
{
    seconds window{8};
    double excess = 0.1;
    double slack = 17000;
};

struct quota_load_options
{
    team_id team{"t"};
    quota_limits limits;
    double cost = 1500; ///< of each request
    std::size_t callers = 24; ///< each sends to one VM at a time, and to another one after that VM ended
    std::uint64_t seed = 1;
    quota_tolerance tolerance;
};

class quota_load
{
public:
    quota_load(simulated_fleet &fleet, quota_load_options options);

    /// Sends \p perSecond of cost for \p length.
    void run(milliseconds length, double perSecond);

    /// Changes the limits at all running VMs.
    void setLimits(quota_limits limits);

    /// The highest cost admitted in a window, relative to what the tolerance allows.
    double worstWindow() const
    {
        return m_worstWindow;
    }
    double admitted() const
    {
        return m_admitted;
    }
    /// What one bucket that hears of every request at once would have admitted.
    double idealAdmitted() const
    {
        return m_idealAdmitted;
    }
    double refused() const
    {
        return m_refused;
    }
    void resetCounters()
    {
        m_admitted = 0;
        m_idealAdmitted = 0;
        m_refused = 0;
    }

private:
    void send(std::size_t caller);
    void record(double cost);

    simulated_fleet &m_fleet;
    quota_load_options m_options;
    std::mt19937_64 m_random;
    std::vector<std::size_t> m_vmOf; ///< by caller
    std::deque<std::pair<instant, double>> m_window; ///< what was admitted in the current window
    double m_windowSum = 0;
    instant m_boundFrom; ///< windows that began under other limits aren't judged
    double m_worstWindow = 0;
    quota_bucket m_ideal;
    double m_admitted = 0;
    double m_idealAdmitted = 0;
    double m_refused = 0;
};

} // namespace fuchsialoom
