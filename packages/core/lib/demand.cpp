/// \file
/// Two exponentially weighted rates for each model.
#include "fuchsialoom/core/demand.h"

#include <algorithm>
#include <cmath>

namespace fuchsialoom
{

static double inSeconds(microseconds span)
{
    return std::chrono::duration<double>(span).count();
}

/// What one request adds to a rate with time constant \p constant, in requests a minute.
static double weightOf(seconds constant)
{
    constexpr double secondsPerMinute = 60;
    return secondsPerMinute / static_cast<double>(constant.count());
}

demand_forecast::rates demand_forecast::decayed(const rates &old, instant now) const
{
    const double elapsed = inSeconds(std::max(now - old.at, microseconds(0)));
    rates result;
    result.fast = old.fast * std::exp(-elapsed / static_cast<double>(m_options.fast.count()));
    result.slow = old.slow * std::exp(-elapsed / static_cast<double>(m_options.slow.count()));
    result.at = std::max(now, old.at);
    return result;
}

void demand_forecast::observe(const model_id &model, double requests, instant now)
{
    const auto known = m_models.find(model);
    rates next = known != m_models.end() ? decayed(known->second, now) : rates{0, 0, now};
    next.fast += requests * weightOf(m_options.fast);
    next.slow += requests * weightOf(m_options.slow);
    m_models[model] = next;
    if (m_models.size() > m_options.mostModels) {
        forgetLeast(now);
    }
}

demand_forecast::rates demand_forecast::ratesOf(const model_id &model, instant now) const
{
    const auto known = m_models.find(model);
    return known != m_models.end() ? decayed(known->second, now) : rates{0, 0, now};
}

double demand_forecast::requestsPerMinute(const model_id &model, instant now) const
{
    const rates current = ratesOf(model, now);
    return std::max(current.fast, current.slow);
}

double demand_forecast::currentPerMinute(const model_id &model, instant now) const
{
    return ratesOf(model, now).fast;
}

void demand_forecast::forgetLeast(instant now)
{
    const auto least = std::ranges::min_element(m_models, {}, [&](const auto &entry) {
        const rates current = decayed(entry.second, now);
        return std::max(current.fast, current.slow);
    });
    m_models.erase(least);
}

} // namespace fuchsialoom
