/// \file
/// Forecast of each model's demand. Demand may rise tenfold within an hour without warning, so the
/// forecast follows a rise at once and forgets it slowly: it is the larger of two exponentially
/// weighted rates.
#pragma once

#include "fuchsialoom/support/ids.h"
#include "fuchsialoom/support/time.h"

#include <cstddef>
#include <map>

namespace fuchsialoom
{

struct demand_options
{
    seconds fast{60}; ///< time constant of the rate that follows a rise
    seconds slow{1800}; ///< time constant of the rate that remembers it
    std::size_t mostModels = 4096; ///< the least demanded are forgotten beyond this
};

/// State: two numbers and an instant for each model, never more than `mostModels` of them.
class demand_forecast
{
public:
    explicit demand_forecast(demand_options options = {})
        : m_options(options)
    {
    }

    /// \p requests for \p model arrived since the last observation. Time must not run backwards.
    void observe(const model_id &model, double requests, instant now);

    /// Requests a minute to expect for \p model; 0 for one that was never observed.
    double requestsPerMinute(const model_id &model, instant now) const;

    /// The fast rate alone: requests a minute for \p model right now.
    double currentPerMinute(const model_id &model, instant now) const;

    std::size_t size() const
    {
        return m_models.size();
    }

private:
    /// Requests a minute as of `at`; both decay from there.
    struct rates
    {
        double fast = 0;
        double slow = 0;
        instant at;
    };

    rates decayed(const rates &old, instant now) const;
    rates ratesOf(const model_id &model, instant now) const;
    void forgetLeast(instant now);

    demand_options m_options;
    std::map<model_id, rates> m_models;
};

} // namespace fuchsialoom
