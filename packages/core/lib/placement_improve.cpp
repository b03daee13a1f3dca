/// \file
/// The local search: each step adds the copy that lets the most further demand be served, as long as
/// that is worth a move.
#include "placement_layout.h"

#include <algorithm>
#include <tuple>

namespace fuchsialoom
{

namespace
{

constexpr double secondsPerMinute = 60;
constexpr double milliPerStream = 1000;

struct candidate
{
    std::size_t model;
    std::size_t target;
    std::vector<std::size_t> evicted;
    milli_streams estimate; ///< rough, only to choose which gains to work out

    /// The more promising one first; then any fixed order.
    friend bool operator<(const candidate &left, const candidate &right)
    {
        const auto rank = [](const candidate &one) {
            return std::tuple(-one.estimate, one.evicted.size(), one.model, one.target);
        };
        return rank(left) < rank(right);
    }
};

class local_search
{
public:
    local_search(placement_layout &layout, const std::vector<placement_model> &models, const placement_options &options)
        : m_layout(layout)
        , m_models(models)
        , m_options(options)
    {
        for (std::size_t model = 0; model < models.size(); ++model) {
            m_largest = std::max(m_largest, layout.bytesOf(model));
        }
    }

    struct found_move
    {
        candidate what;
        double gain; ///< requests a minute
    };

    /// The best move whose gain is above the move cost, or nothing.
    std::optional<found_move> best()
    {
        m_layout.recomputeFlows();
        std::optional<found_move> best;
        for (candidate &one : promising()) {
            const double gain = gainOf(one);
            if (gain > m_options.moveCost && (!best || gain > best->gain)) {
                best = found_move{std::move(one), gain};
            }
        }
        return best;
    }

    void apply(const candidate &what)
    {
        for (const std::size_t gone : what.evicted) {
            m_layout.remove(what.target, gone);
        }
        m_layout.add(what.target, what.model);
    }

private:
    std::vector<candidate> promising() const
    {
        const std::vector<bool> strained = m_layout.flow().strainedModels();
        const std::vector<bool> open = m_layout.flow().openTargets();
        std::vector<candidate> candidates;
        for (std::size_t model = 0; model < m_models.size(); ++model) {
            if (!strained[model]) {
                continue;
            }
            const milli_streams pressure = pressureOf(model);
            for (std::size_t target = 0; target < m_layout.targetCount(); ++target) {
                if (open[target] && !m_layout.holds(target, model)) {
                    consider(candidates, model, target, pressure);
                }
            }
        }
        const std::size_t kept = std::min(candidates.size(), m_options.trialsPerMove);
        std::ranges::partial_sort(candidates, candidates.begin() + static_cast<std::ptrdiff_t>(kept), std::less());
        candidates.resize(kept);
        return candidates;
    }

    /// What a further copy of \p model could at most take over: its unmet demand and what it is served
    /// on targets that others wait for.
    milli_streams pressureOf(std::size_t model) const
    {
        milli_streams pressure = m_layout.flow().unmet(model);
        for (std::size_t target = 0; target < m_layout.targetCount(); ++target) {
            pressure += m_layout.flow().flowOn(model, target);
        }
        return pressure;
    }

    void consider(std::vector<candidate> &candidates, std::size_t model, std::size_t target, milli_streams pressure) const
    {
        auto evicted = m_layout.evictionsFor(target, m_layout.bytesOf(model), model, eviction_floor::CopiesMin);
        if (!evicted || !leavesSwapRoom(model, target, *evicted)) {
            return;
        }
        milli_streams lost = 0;
        for (const std::size_t gone : *evicted) {
            lost += m_layout.flow().flowOn(gone, target);
        }
        const milli_streams unmet = m_layout.flow().unmet(model);
        const milli_streams room = m_layout.flow().spare(target) + lost;
        const milli_streams estimate = std::min(std::max(unmet, pressure / 2), room) - lost;
        candidates.push_back(candidate{model, target, std::move(*evicted), estimate});
    }

    /// Whether some target still has room for the largest model, if one had before.
    bool leavesSwapRoom(std::size_t model, std::size_t target, const std::vector<std::size_t> &evicted) const
    {
        if (!m_options.keepSwapRoom) {
            return true;
        }
        bool hadRoom = false;
        for (std::size_t one = 0; one < m_layout.targetCount(); ++one) {
            const bool roomy = m_layout.freeBytes(one) >= m_largest;
            if (one != target && roomy) {
                return true;
            }
            hadRoom = hadRoom || roomy;
        }
        std::int64_t free = m_layout.freeBytes(target) - m_layout.bytesOf(model);
        for (const std::size_t gone : evicted) {
            free += m_layout.bytesOf(gone);
        }
        return !hadRoom || free >= m_largest;
    }

    /// Requests a minute: what more of the present demand is served, less what the evictions take from
    /// the forecast. The forecast alone would overrate demand that has gone: a domain would look full
    /// and no move seem to gain. The present alone would evict what a burst may soon need again.
    double gainOf(const candidate &one) const
    {
        milli_streams gained = changeOf(m_layout.flow(), one);
        if (!one.evicted.empty()) {
            gained += std::min<milli_streams>(changeOf(m_layout.forecastFlow(), one), 0);
        }
        const auto streams = static_cast<double>(gained) / milliPerStream;
        return streams * secondsPerMinute / m_models[one.model].secondsPerRequest;
    }

    static milli_streams changeOf(const demand_flow &flow, const candidate &one)
    {
        demand_flow trial = flow;
        for (const std::size_t gone : one.evicted) {
            trial.disconnect(gone, one.target);
        }
        trial.connect(one.model, one.target);
        trial.maximise();
        return trial.served() - flow.served();
    }

    placement_layout &m_layout;
    const std::vector<placement_model> &m_models;
    const placement_options &m_options;
    std::int64_t m_largest = 0; ///< bytes of the largest model
};

} // namespace

std::vector<placement_move> improve(placement_layout &layout,
                                    const std::vector<placement_target> &targets,
                                    const std::vector<placement_model> &models,
                                    const placement_options &options)
{
    local_search search(layout, models, options);
    std::vector<placement_move> moves;
    while (moves.size() < options.mostMoves) {
        const auto found = search.best();
        if (!found) {
            break;
        }
        placement_move move{targets[found->what.target].target, models[found->what.model].model, {}, found->gain};
        for (const std::size_t gone : found->what.evicted) {
            move.evicted.push_back(models[gone].model);
        }
        search.apply(found->what);
        moves.push_back(std::move(move));
    }
    layout.maximise();
    return moves;
}

} // namespace fuchsialoom
